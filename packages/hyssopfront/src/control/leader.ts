/**
 * What only the leader of the main group does: proposals, sessions and the revision in force.
 */
import {
    type Clock,
    type Counters,
    NotLeaderError,
    ProposalRefusedError,
    type Replica,
    ReplicaRole,
    withDeadline,
} from "@hyssopfront/coordination";
import { isDeepStrictEqual } from "node:util";
import type { QuotaAllocator } from "../admission/quota-allocator.js";
import { createDrainReports } from "../drains/drain-reports.js";
import type { CommandAnswer, EntryRegistration, ResourceCommand } from "../resources/messages.js";
import { ChangeResult, CommandKind, encodeCommand } from "../resources/messages.js";
import {
    type EndSessionReply,
    type EndSessionRequest,
    EndSessionResult,
    type RenewSessionReply,
    type RenewSessionRequest,
    RenewSessionResult,
    SESSION_LEASE_MS,
} from "../sessions/messages.js";
import type { InForceStatus } from "./in-force.js";
import type { MainGroup } from "./main-group.js";
import { ProposeOutcome, type ProposeReply, type ProposeRequest } from "./messages.js";
import type { SessionTable } from "./session-table.js";

/** A commit takes longer only while the quorum is being lost. */
export const PROPOSE_DEADLINE_MS = 3_000;

export type Leader = {
    /** Takes the leadership up if this instance has it. Resolves with its term, or undefined. */
    ensureLeadership(): Promise<number | undefined>;
    /** Revision in force; undefined when this instance does not lead with a valid lease. */
    inForceStatus(): Promise<InForceStatus | undefined>;
    renewSession(request: RenewSessionRequest): Promise<RenewSessionReply>;
    endSession(request: EndSessionRequest): Promise<EndSessionReply>;
    /** Commits what an operator asked for. */
    propose(request: ProposeRequest): Promise<ProposeReply>;
};

export type LeaderOptions = {
    readonly clock: Clock;
    readonly counters: Counters;
    readonly replica: Replica;
    readonly mainGroup: MainGroup;
    readonly sessionTable: SessionTable;
    readonly quotaAllocator: Pick<QuotaAllocator, "startLeading" | "renew" | "endSession">;
};

const toRegistration = (request: RenewSessionRequest): EntryRegistration => ({
    name: request.entry,
    address: request.address,
    callerPort: request.callerPort,
    peerPort: request.peerPort,
    availabilityZone: request.availabilityZone,
    isLeaving: request.isLeaving,
});

/** Creates the leader's part of a control instance; it refuses everything while the instance does not lead. */
export function createLeader(options: LeaderOptions): Leader {
    const { clock, counters, replica, mainGroup, sessionTable, quotaAllocator } = options;
    const drainReports = createDrainReports();
    const pendingRegistrations = new Map<string, Promise<ProposeReply>>();

    /** True at this instant; to be asked again after each wait, since the process may have been suspended. */
    const isLeaderInTerm = (term: number) => {
        const status = replica.status();
        return status.role === ReplicaRole.Leader && status.term === term && replica.holdsLeaderLease();
    };

    const ensureLeadership = async () => {
        const { term } = replica.status();
        if (!isLeaderInTerm(term)) {
            return undefined;
        }
        if (sessionTable.term === term) {
            return term;
        }
        // All that earlier leaders committed must be applied, since any of it may have been reported in force.
        const isCaughtUp = await replica.readBarrier().then(() => true, () => false);
        const leadingMilliseconds = replica.leadingForMilliseconds();
        if (!isCaughtUp || leadingMilliseconds === undefined || !isLeaderInTerm(term)) {
            return undefined;
        }
        if (sessionTable.term !== term) {
            const electedAt = clock.monotonicMilliseconds() - leadingMilliseconds;
            sessionTable.startLeading(term, electedAt, mainGroup.state.configurationRevision);
            quotaAllocator.startLeading(term);
            drainReports.clear();
            counters.increment("control.leaderships");
        }
        return term;
    };

    const proposeCommand = async (command: ResourceCommand): Promise<ProposeReply> => {
        try {
            const { result } = await withDeadline(clock, PROPOSE_DEADLINE_MS, replica.propose(encodeCommand(command)));
            return { outcome: ProposeOutcome.Answered, answer: result as CommandAnswer };
        }
        catch (error) {
            if (error instanceof NotLeaderError) {
                return { outcome: ProposeOutcome.NotLeader, leader: error.leader };
            }
            const outcome = error instanceof ProposalRefusedError ? ProposeOutcome.Refused : ProposeOutcome.Unknown;
            return { outcome, message: (error as Error).message };
        }
    };

    const notLeaderReply = (): RenewSessionReply => ({
        result: RenewSessionResult.NotLeader,
        leader: replica.status().leader,
    });

    const findRegistration = (name: string) => mainGroup.view().entries.get(name);

    /** Registers one entry at a time under a name, so that two processes cannot replace each other's registration. */
    const register = async (registration: EntryRegistration): Promise<ProposeReply> => {
        const { name } = registration;
        const pending = pendingRegistrations.get(name);
        if (pending !== undefined) {
            return pending;
        }
        const proposal = proposeCommand({ command: CommandKind.RegisterEntry, entry: registration });
        pendingRegistrations.set(name, proposal);
        try {
            return await proposal;
        }
        finally {
            pendingRegistrations.delete(name);
        }
    };

    const isRegistered = (registration: EntryRegistration) =>
        isDeepStrictEqual(findRegistration(registration.name), registration);

    const renewSession = async (request: RenewSessionRequest): Promise<RenewSessionReply> => {
        const term = await ensureLeadership();
        if (term === undefined) {
            return notLeaderReply();
        }
        const conflictBefore = sessionTable.findNameConflict(request);
        if (conflictBefore !== undefined) {
            return { result: RenewSessionResult.NameInUse, message: conflictBefore };
        }
        const registration = toRegistration(request);
        if (!isRegistered(registration)) {
            const reply = await register(registration);
            if (reply.outcome === ProposeOutcome.Answered && reply.answer.result === ChangeResult.LimitReached) {
                return { result: RenewSessionResult.NameInUse, message: reply.answer.message ?? "" };
            }
        }
        // From here to the return nothing waits, so the lease is granted at one instant.
        if (!isLeaderInTerm(term)) {
            return notLeaderReply();
        }
        const conflict = sessionTable.findNameConflict(request);
        if (conflict !== undefined) {
            return { result: RenewSessionResult.NameInUse, message: conflict };
        }
        const { configurationRevision } = mainGroup.state;
        if (!isRegistered(registration)) {
            return { result: RenewSessionResult.Behind, revision: configurationRevision };
        }
        const decision = sessionTable.renew(request);
        if (!decision.isGranted) {
            counters.increment("control.renewals_behind");
            return { result: RenewSessionResult.Behind, revision: decision.revision };
        }
        drainReports.record(request.entry, {
            drains: request.drains ?? [],
            inFlight: request.inFlightOnDrained ?? [],
        });
        return {
            result: RenewSessionResult.Renewed,
            leaseMilliseconds: SESSION_LEASE_MS,
            revision: configurationRevision,
            grants: quotaAllocator.renew(request),
        };
    };

    const proposeRemoval = async (name: string): Promise<ProposeReply> => {
        try {
            return await proposeCommand({ command: CommandKind.RemoveEntry, name });
        }
        finally {
            sessionTable.finishRemoval(name);
            drainReports.forget(name);
        }
    };

    const endSession = async ({ entry, incarnation }: EndSessionRequest): Promise<EndSessionReply> => {
        const notLeaderReply = { result: EndSessionResult.NotLeader, leader: replica.status().leader };
        if (await ensureLeadership() === undefined) {
            return notLeaderReply;
        }
        if (sessionTable.end(entry, incarnation)) {
            quotaAllocator.endSession(entry, incarnation);
        }
        // Another incarnation, or an entry that this leader has not heard yet, may still hold a lease.
        if (findRegistration(entry) === undefined || !sessionTable.beginRemoval(entry)) {
            return sessionTable.hasEnded(entry, incarnation) ? { result: EndSessionResult.Ended } : notLeaderReply;
        }
        const { outcome } = await proposeRemoval(entry);
        return outcome === ProposeOutcome.Answered ? { result: EndSessionResult.Ended } : notLeaderReply;
    };

    const removeEntry = async (name: string): Promise<ProposeReply> => {
        if (await ensureLeadership() === undefined) {
            return { outcome: ProposeOutcome.NotLeader, leader: replica.status().leader };
        }
        if (!sessionTable.beginRemoval(name)) {
            const message = `Entry ${name} may hold a session; it can be removed once its lease has ended.`;
            const answer = { result: ChangeResult.InUse, revision: 0, generation: 0, message };
            return { outcome: ProposeOutcome.Answered, answer };
        }
        return proposeRemoval(name);
    };

    return {
        ensureLeadership,
        propose: request =>
            "command" in request
                // One clock, so that a single instance with a wrong clock does not end the retention of answers.
                ? proposeCommand({ ...request.command, proposedAt: clock.wallTime().getTime() })
                : removeEntry(request.removeEntry),
        inForceStatus: async () => {
            const term = await ensureLeadership();
            if (term === undefined) {
                return undefined;
            }
            const status = { ...sessionTable.status(), drains: [...drainReports.summarize(mainGroup.view())] };
            // Asked last: a process that was suspended until now may have been replaced as leader.
            return isLeaderInTerm(term) ? status : undefined;
        },
        renewSession,
        endSession,
    };
}
