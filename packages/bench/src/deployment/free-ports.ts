/**
 * Ports for the processes of tests and experiments.
 */
import { createServer, type Server } from "node:net";

/**
 * Below the ephemeral ports of the system, because an outgoing connection could take a port before its process starts,
 * and outside the blocks that `reserveControlInstances` reserves.
 */
const FIRST_PORT = 10_000;
/** More than the number of consecutive ports that `dev` uses. */
const PORTS_PER_BLOCK = 400;
const BLOCK_COUNT = 12;
/** First of the lock ports. A process listens on one of them to reserve the block of the same index. */
const FIRST_LOCK_PORT = FIRST_PORT - BLOCK_COUNT;

type Block = { readonly firstPort: number; next: number };

let block: Promise<Block> | undefined;

/** Listens on a port; resolves with undefined when the port is in use. */
function tryListen(port: number): Promise<Server | undefined> {
    const server = createServer();
    return new Promise(resolve => {
        server.once("error", () => resolve(undefined));
        server.listen(port, "127.0.0.1", () => resolve(server));
    });
}

async function isFree(port: number): Promise<boolean> {
    const server = await tryListen(port);
    if (server === undefined) {
        return false;
    }
    await new Promise(resolveClosed => server.close(resolveClosed));
    return true;
}

/**
 * Reserves a block of ports until this process ends. Blocks are exclusive because a port is still free between the
 * check and the start of the process that will listen on it: two test processes that search the same ports would find
 * the same ones.
 */
async function reserveBlock(): Promise<Block> {
    for (let index = 0; index < BLOCK_COUNT; index += 1) {
        const lock = await tryListen(FIRST_LOCK_PORT + index);
        if (lock !== undefined) {
            lock.unref();
            return { firstPort: FIRST_PORT + index * PORTS_PER_BLOCK, next: 0 };
        }
    }
    throw new Error(`All ${BLOCK_COUNT} blocks of ports are reserved by other test processes.`);
}

/**
 * Finds ports that are free now. A port is returned again only after all others of the block.
 *
 * @throws Error when other test processes have reserved all blocks, or when the block has too few free ports.
 */
export async function findFreePorts(count: number): Promise<readonly number[]> {
    block ??= reserveBlock();
    const reservedBlock = await block;
    const ports: number[] = [];
    for (let attempts = 0; ports.length < count; attempts += 1) {
        if (attempts === PORTS_PER_BLOCK) {
            throw new Error(
                `Only ${ports.length} of ${count} ports are free in the block from port ${reservedBlock.firstPort} on.`,
            );
        }
        const port = reservedBlock.firstPort + reservedBlock.next;
        reservedBlock.next = (reservedBlock.next + 1) % PORTS_PER_BLOCK;
        if (await isFree(port)) {
            ports.push(port);
        }
    }
    return ports;
}
