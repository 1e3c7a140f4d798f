import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import {
    createServer,
    type IncomingMessage,
    request as sendRequest,
    type Server,
    type ServerResponse,
} from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { BodyTooLargeError } from "../../routing/request-body.js";
import { type BodyMemory, type BodyMemoryReservation, createBodyMemory, releaseWhenSent } from "../body-memory.js";
import { DEFAULT_LIMITS } from "../catalog-view.js";
import { type GatewayRequest, readGatewayRequest } from "../gateway-request.js";
import { SAMPLE_HEADER_NAMES as NAMES } from "../sample-header-names.js";

const HOST = "127.0.0.1";
const CHUNK_BYTES = 50_000;

type ReadRequest = { readonly request: GatewayRequest; readonly reservation: BodyMemoryReservation };

let server: Server;
let memory: BodyMemory;
let reads: Promise<ReadRequest>[];
let arrived: () => void;
let sentBytes: number;
let highestReservedBytes: number;

let caller: Socket | undefined;

After(() => {
    caller?.destroy();
    caller = undefined;
    server.closeAllConnections();
    server.close();
});

/** Sends a body with letters that depend on the position, so that a chunk that is missing or moved is noticed. */
const makeBody = (bytes: number) => Buffer.from(Array.from({ length: bytes }, (_, index) => 97 + index % 23));

async function send(body: Buffer, hasLength: boolean): Promise<void> {
    const request = sendRequest({
        host: HOST,
        port: (server.address() as AddressInfo).port,
        method: "PUT",
        agent: false,
        headers: hasLength ? { "content-length": body.length } : {},
    });
    request.on("error", () => undefined);
    const closed = new Promise(resolve => request.once("close", resolve));
    for (let offset = 0; offset < body.length; offset += CHUNK_BYTES) {
        if (!request.write(body.subarray(offset, offset + CHUNK_BYTES))) {
            await Promise.race([closed, new Promise(resolve => request.once("drain", resolve))]);
        }
    }
    request.end();
}

async function readRest({ body }: GatewayRequest): Promise<Buffer> {
    if (body === undefined || Buffer.isBuffer(body)) {
        return body ?? Buffer.alloc(0);
    }
    const chunks: Uint8Array[] = [];
    for await (const chunk of body.chunks) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
}

function respondFromMemory(message: IncomingMessage, response: ServerResponse): void {
    const bytes = Number(message.url?.slice(1));
    const reservation = memory.createReservation();
    assert.ok(reservation.tryReserve(bytes));
    response.end(Buffer.alloc(bytes));
    releaseWhenSent(reservation, message, response);
}

Given(
    "an entry that may buffer {int} bytes of bodies and accepts bodies of {int} bytes",
    async (maximumBytes: number, maximumBodyBytes: number) => {
        memory = createBodyMemory(maximumBytes);
        reads = [];
        highestReservedBytes = 0;
        server = createServer((message, response) => {
            if (message.method === "GET") {
                respondFromMemory(message, response);
                return;
            }
            const reservation = memory.createReservation();
            const read = readGatewayRequest(message, NAMES, { ...DEFAULT_LIMITS, maximumBodyBytes }, {
                ...reservation,
                tryReserve: bytes => {
                    const isReserved = reservation.tryReserve(bytes);
                    highestReservedBytes = Math.max(highestReservedBytes, memory.reservedBytes);
                    return isReserved;
                },
            });
            reads.push(read.then(request => ({ request, reservation })));
            arrived();
        });
        server.listen(0, HOST);
        await new Promise(resolve => server.once("listening", resolve));
    },
);

When(
    /^(\d+) callers? sends? (\d+) bytes (with|without) a length$/,
    async (count: string, bytes: string, length: string) => {
        sentBytes = Number(bytes);
        reads = [];
        const haveArrived = new Promise<void>(resolve => {
            arrived = () => {
                if (reads.length === Number(count)) {
                    resolve();
                }
            };
        });
        Array.from({ length: Number(count) }, () => void send(makeBody(sentBytes), length === "with"));
        await haveArrived;
        await Promise.allSettled(reads);
    },
);
Given("other requests have reserved {int} bytes", (bytes: number) => {
    assert.ok(memory.createReservation().tryReserve(bytes));
});
When("their requests end", async () => {
    (await Promise.all(reads)).forEach(({ reservation }) => reservation.release());
});

When(
    /^a caller (?:gets a response of|pipelines (\d+) requests for) (\d+) bytes(?: each)? and reads nothing$/,
    (count: string | undefined, bytes: string) => {
        memory = createBodyMemory();
        caller = connect((server.address() as AddressInfo).port, HOST);
        caller.on("error", () => undefined);
        caller.pause();
        caller.write(`GET /${bytes} HTTP/1.1\r\nhost: ${HOST}\r\n\r\n`.repeat(Number(count ?? 1)));
    },
);
When(/^the caller (reads it|disconnects)$/, (end: string) => {
    if (end === "reads it") {
        caller?.resume();
    }
    else {
        caller?.destroy();
    }
});
Then("{int} ms later at least {int} bytes are reserved", async (milliseconds: number, bytes: number) => {
    await sleep(milliseconds);
    assert.ok(memory.reservedBytes >= bytes, `${memory.reservedBytes} bytes are reserved.`);
});
Then("within {int} ms {int} bytes are reserved", async (milliseconds: number, bytes: number) => {
    const endsAt = performance.now() + milliseconds;
    while (memory.reservedBytes !== bytes && performance.now() < endsAt) {
        await sleep(10);
    }
    assert.equal(memory.reservedBytes, bytes);
});

Then(/^(at least |)(\d+) bod(?:y is|ies are) streamed$/, async (atLeast: string, count: string) => {
    const streamed = (await Promise.all(reads)).filter(({ request }) => !Buffer.isBuffer(request.body));
    assert.ok(
        atLeast === "" ? streamed.length === Number(count) : streamed.length >= Number(count),
        `${streamed.length} of ${reads.length} bodies are streamed.`,
    );
});
Then("at most {int} bytes are reserved", (bytes: number) => {
    const reservedBytes = bytes === 0 ? memory.reservedBytes : highestReservedBytes;
    assert.ok(reservedBytes <= bytes, `${reservedBytes} bytes are reserved.`);
});
Then("each body is read whole", async () => {
    const bodies = await Promise.all((await Promise.all(reads)).map(({ request }) => readRest(request)));
    const expected = makeBody(sentBytes);
    bodies.forEach(body => assert.ok(body.equals(expected), `${body.length} bytes were read.`));
});
Then("no body is read whole, because it is too large", async () => {
    await Promise.all(
        reads.map(read => assert.rejects(read.then(({ request }) => readRest(request)), BodyTooLargeError)),
    );
});
