/**
 * Prints the CPU time that the control leader spends on granting portions, over the number of entries. Each entry renews
 * every 500 ms and reports 30 budgets that it uses.
 *
 * Usage: node --conditions=source --import tsx packages/bench/src/slopes/portions-grantor.ts
 */
import { createManualClock, encodeFrame } from "@hyssopfront/coordination";
import { BudgetUnit } from "hyssopfront/admission/admission.js";
import { linkKey } from "hyssopfront/admission/budgets.js";
import { ALLOCATOR_TERM_KEY } from "hyssopfront/admission/entry-admission.js";
import { createQuotaAllocator } from "hyssopfront/admission/quota-allocator.js";
import {
    type QuotaGrant,
    type RenewSessionRequest,
    RenewSessionResult,
    SESSION_LEASE_MS,
    SESSION_RENEWAL_INTERVAL_MS,
} from "hyssopfront/sessions/messages.js";
import { encodeRenewal, encodeRenewalReply } from "hyssopfront/sessions/renewal-frames.js";
import { createRandom } from "../quotas/fault-schedule.js";
import { sampleView } from "../quotas/sample-view.js";

const BUDGETS = 30;
const ROUNDS = 10;

/** Bytes of the payloads of a renewal and its answer. */
const countWireBytes = (renewal: RenewSessionRequest, grants: QuotaGrant[]) => {
    const result = RenewSessionResult.Renewed as const;
    const reply = { result, leaseMilliseconds: SESSION_LEASE_MS, revision: 1, grants };
    return encodeFrame(encodeRenewal(renewal)).length + encodeFrame(encodeRenewalReply(reply, renewal.demands)).length;
};

const print = (line: string) => process.stdout.write(`${line}\n`);

for (const count of [7, 50, 150, 450]) {
    const random = createRandom(1);
    const names = Array.from({ length: count }, (_, index) => `entry-${index + 1}`);
    const regions = Array.from({ length: BUDGETS }, (_, index) => ({ to: `region-${index}`, bitsPerSecond: 8e9 }));
    const clock = createManualClock();
    const grantor = createQuotaAllocator({ clock });
    const view = sampleView({ revision: 1, entries: names, requestsPerSecond: 1_000 });
    grantor.applyView({ ...view, regions: new Map([["hame", { links: regions }]]) });
    grantor.startLeading(1);
    await clock.advance(20_000);
    const held = new Map<string, { portion: number; floor: number }>();
    let bytes = 0;
    let spent = 0;
    for (let round = 0; round < ROUNDS; round++) {
        for (const entry of names) {
            await clock.advance(SESSION_RENEWAL_INTERVAL_MS / count);
            const demands = regions.map(({ to }) => {
                const key = linkKey("hame", to);
                const { portion, floor } = held.get(`${entry}/${key}`) ?? { portion: 0, floor: 0 };
                const wanted = 5e6 * random();
                return { key, unit: BudgetUnit.BytesPerSecond, wanted, held: portion, portion, floor };
            });
            const term = { key: ALLOCATOR_TERM_KEY, unit: BudgetUnit.Concurrent, wanted: 0, held: 1 };
            const renewal = {
                entry,
                incarnation: "0197a3c0-0000-7000-8000-000000000000",
                address: "10.20.30.40",
                callerPort: 9_000,
                peerPort: 9_001,
                availabilityZone: "hame-1",
                isLeaving: false,
                appliedRevision: 1,
                sentAt: round,
                demands: [term, ...demands],
            };
            const startedAt = performance.now();
            const grants = grantor.renew(renewal);
            spent += performance.now() - startedAt;
            bytes = countWireBytes(renewal, grants);
            grants.forEach(({ key, portion, floor = 0 }) => held.set(`${entry}/${key}`, { portion, floor }));
        }
    }
    const share = spent / (ROUNDS * SESSION_RENEWAL_INTERVAL_MS);
    print(
        `${count} entries with ${BUDGETS} budgets each: ${(share * 100).toFixed(2)}% of a core on the leader, `
            + `${
                (spent * 1_000 / (ROUNDS * count * BUDGETS)).toFixed(2)
            } us a grant, ${bytes} bytes on the wire a renewal`,
    );
}
