/**
 * Requests that only the leader of the main group serves: proposals, entry sessions and the revision in force.
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
import type { CommandResponse, EntryRegistration, ResourceCommand } from "../resources/messages.js";
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

/** Time limit of one proposal, in milliseconds. A commit that takes longer indicates that the quorum is lost. */
export const PROPOSE_DEADLINE_MS = 3_000;

/** Leader-only operations of a control instance. Each one checks that this instance leads with a valid leader lease. */
export type Leader = {
    /**
     * Prepares the sessions and quotas of a new term if this instance was elected since the last call.
     *
     * @returns Current term, or undefined when this instance does not lead.
     */
    ensureLeadership(): Promise<number | undefined>;
    /** @returns Status of the revision in force, or undefined when this instance does not lead with a valid lease. */
    inForceStatus(): Promise<InForceStatus | undefined>;
    /** Registers the entry if its registration has changed, and renews its lease and its quotas. */
    renewSession(request: RenewSessionRequest): Promise<RenewSessionReply>;
    /** Ends the session of an entry that has stopped serving, and removes its registration. */
    endSession(request: EndSessionRequest): Promise<EndSessionReply>;
    /** Commits the change or the removal of an entry that an operator requested. */
    propose(request: ProposeRequest): Promise<ProposeReply>;
};

/** Dependencies of {@link createLeader}. */
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

/** Creates the leader-only operations of an instance. They reject every request while the instance does not lead. */
export function createLeader(options: LeaderOptions): Leader {
    const { clock, counters, replica, mainGroup, sessionTable, quotaAllocator } = options;
    const drainReports = createDrainReports();
    const pendingRegistrations = new Map<string, Promise<ProposeReply>>();

    /** True at the time of the call only: check again after each await, since the process may have been suspended. */
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
        // Everything that earlier leaders committed must be applied first, since they may have reported it in force.
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
            return { outcome: ProposeOutcome.Completed, answer: result as CommandResponse };
        }
        catch (error) {
            if (error instanceof NotLeaderError) {
                return { outcome: ProposeOutcome.NotLeader, leader: error.leader };
            }
            const outcome = error instanceof ProposalRefusedError ? ProposeOutcome.Rejected : ProposeOutcome.Unknown;
            return { outcome, message: (error as Error).message };
        }
    };

    const notLeaderReply = (): RenewSessionReply => ({
        result: RenewSessionResult.NotLeader,
        leader: replica.status().leader,
    });

    const findRegistration = (name: string) => mainGroup.view().entries.get(name);

    /** Runs one registration per name at a time, so that two processes cannot replace each other's registration. */
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
            if (reply.outcome === ProposeOutcome.Completed && reply.answer.result === ChangeResult.LimitReached) {
                return { result: RenewSessionResult.NameInUse, message: reply.answer.message ?? "" };
            }
        }
        // There is no await from here to the return, so the checks still hold when the lease is granted.
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
            drainReports.remove(name);
        }
    };

    const endSession = async ({ entry, incarnation }: EndSessionRequest): Promise<EndSessionReply> => {
        const notLeader = { result: EndSessionResult.NotLeader, leader: replica.status().leader };
        if (await ensureLeadership() === undefined) {
            return notLeader;
        }
        if (sessionTable.end(entry, incarnation)) {
            quotaAllocator.endSession(entry, incarnation);
        }
        // Another incarnation may still hold a lease, and so may an entry that has not reported to this leader yet.
        if (findRegistration(entry) === undefined || !sessionTable.beginRemoval(entry)) {
            return sessionTable.hasEnded(entry, incarnation) ? { result: EndSessionResult.Ended } : notLeader;
        }
        const { outcome } = await proposeRemoval(entry);
        return outcome === ProposeOutcome.Completed ? { result: EndSessionResult.Ended } : notLeader;
    };

    const removeEntry = async (name: string): Promise<ProposeReply> => {
        if (await ensureLeadership() === undefined) {
            return { outcome: ProposeOutcome.NotLeader, leader: replica.status().leader };
        }
        if (!sessionTable.beginRemoval(name)) {
            const message = `Entry ${name} may hold a session; it can be removed once its lease has ended.`;
            const response = { result: ChangeResult.InUse, revision: 0, generation: 0, message };
            return { outcome: ProposeOutcome.Completed, answer: response };
        }
        return proposeRemoval(name);
    };

    return {
        ensureLeadership,
        propose: request =>
            "command" in request
                // The leader's clock sets the time, so that another instance with a wrong clock cannot shorten the
                // retention of responses.
                ? proposeCommand({ ...request.command, proposedAt: clock.wallTime().getTime() })
                : removeEntry(request.removeEntry),
        inForceStatus: async () => {
            const term = await ensureLeadership();
            if (term === undefined) {
                return undefined;
            }
            const status = { ...sessionTable.status(), drains: [...drainReports.summarize(mainGroup.view())] };
            // Checked last: another leader may have been elected while this process was suspended.
            return isLeaderInTerm(term) ? status : undefined;
        },
        renewSession,
        endSession,
    };
}
