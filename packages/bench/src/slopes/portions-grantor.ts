/**
 * Measures the CPU time that the quota allocator of the control leader needs, against the number of entries. Each entry
 * renews its session every 500 ms with demands for 30 budgets.
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
import { encodeRenewal, encodeRenewalReply } from "hyssopfront/sessions/renewal-encoding.js";
import { createRandom } from "../quotas/fault-schedule.js";
import { sampleView } from "../quotas/sample-view.js";

const BUDGETS = 30;
const ROUNDS = 10;

/** Returns the payload bytes of a renewal and its reply. */
const countWireBytes = (renewal: RenewSessionRequest, grants: QuotaGrant[]) => {
    const result = RenewSessionResult.Renewed as const;
    const reply = { result, leaseMilliseconds: SESSION_LEASE_MS, revision: 1, grants };
    return encodeFrame(encodeRenewal(renewal)).length + encodeFrame(encodeRenewalReply(reply, renewal.demands)).length;
};

const print = (line: string) => process.stdout.write(`${line}\n`);

for (const entryCount of [7, 50, 150, 450]) {
    const random = createRandom(1);
    const names = Array.from({ length: entryCount }, (_, index) => `entry-${index + 1}`);
    const regions = Array.from({ length: BUDGETS }, (_, index) => ({ to: `region-${index}`, bitsPerSecond: 8e9 }));
    const clock = createManualClock();
    const allocator = createQuotaAllocator({ clock });
    const view = sampleView({ revision: 1, entries: names, requestsPerSecond: 1_000 });
    allocator.applyView({ ...view, regions: new Map([["hame", { links: regions }]]) });
    allocator.startLeading(1);
    await clock.advance(20_000);
    const heldQuotas = new Map<string, { portion: number; floor: number }>();
    let bytes = 0;
    let allocatorMilliseconds = 0;
    for (let round = 0; round < ROUNDS; round++) {
        for (const entry of names) {
            await clock.advance(SESSION_RENEWAL_INTERVAL_MS / entryCount);
            const demands = regions.map(({ to }) => {
                const key = linkKey("hame", to);
                const { portion, floor } = heldQuotas.get(`${entry}/${key}`) ?? { portion: 0, floor: 0 };
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
            const grants = allocator.renew(renewal);
            allocatorMilliseconds += performance.now() - startedAt;
            bytes = countWireBytes(renewal, grants);
            grants.forEach(({ key, portion, floor = 0 }) => heldQuotas.set(`${entry}/${key}`, { portion, floor }));
        }
    }
    const share = allocatorMilliseconds / (ROUNDS * SESSION_RENEWAL_INTERVAL_MS);
    print(
        `${entryCount} entries with ${BUDGETS} budgets each: ${(share * 100).toFixed(2)}% of a core on the leader, `
            + `${
                (allocatorMilliseconds * 1_000 / (ROUNDS * entryCount * BUDGETS)).toFixed(2)
            } us a grant, ${bytes} bytes on the wire a renewal`,
    );
}
