/**
 * Specification of the replacement of a voter by a successor: the leader promotes the successor and then removes the
 * voter, one membership change after the other.
 *
 * Replicas 0 to 4 are the voters, 0 leads, 4 is replaced and 5 is its successor. Replica 4 may fall silent and return at
 * any time; the successor may hang at any time. Elections and other concurrent changes are the subject of the
 * specification of the replication. In each state, every further loss of disks that the group must tolerate is checked.
 */
import type { Specification, Step } from "../explorer/explore.js";

/** Deliberate implementation defects. Exploring the specification with one of them must find a violation. */
export enum ReplacementDefect {
    None = "none",
    /** The successor is promoted although it may hold nothing of what is committed. */
    PromotesLaggingSuccessor = "promotesLaggingSuccessor",
    /** The silent voter is removed before its successor is promoted. */
    RemovesFirst = "removesFirst",
}

export type ReplacementState = {
    /** Log of the leader: the mask of the voters for a membership change, 0 for a proposal. */
    readonly log: readonly number[];
    /** Number of entries that each replica holds. */
    readonly held: readonly number[];
    readonly committed: number;
    readonly isSilent: boolean;
    readonly isHanging: boolean;
    /** True if the successor hangs after it held all that was committed: only then does it count as a lost machine. */
    readonly isSuccessorLost: boolean;
    readonly proposals: number;
};

const LEADER = 0;
const REPLACED = 4;
const SUCCESSOR = 5;
const REPLICAS = [0, 1, 2, 3, 4, 5];
const FIRST_VOTERS = 0b011111;
/** Number of machines whose disks may be lost at the same time. */
const TOLERATED_LOSSES = 2;

const toMask = (replicas: readonly number[]) => replicas.reduce((mask, replica) => mask | (1 << replica), 0);
const includes = (mask: number, replica: number) => (mask & (1 << replica)) !== 0;
const listVoters = (mask: number) => REPLICAS.filter(replica => includes(mask, replica));
const isMajority = (replicas: readonly number[], voters: number) =>
    2 * replicas.filter(replica => includes(voters, replica)).length > listVoters(voters).length;
const getVoters = (log: readonly number[]) => log.findLast(mask => mask !== 0) ?? FIRST_VOTERS;

const listSubsets = (replicas: readonly number[], size: number): readonly (readonly number[])[] =>
    size === 0
        ? [[]]
        : replicas.flatMap((replica, at) =>
            listSubsets(replicas.slice(at + 1), size - 1).map(others => [replica, ...others])
        );

/**
 * Creates the specification.
 *
 * @param defect Defect to include; `None` for the protocol as implemented.
 * @param proposals Number of proposals besides the membership changes.
 */
export function specifyReplacement(defect: ReplacementDefect, proposals: number): Specification<ReplacementState> {
    const initial: ReplacementState = {
        // One proposal is committed before the successor starts.
        log: [0],
        held: REPLICAS.map(replica => replica === SUCCESSOR ? 0 : 1),
        committed: 1,
        isSilent: false,
        isHanging: false,
        isSuccessorLost: false,
        proposals,
    };

    const advanceCommit = (state: ReplacementState): ReplacementState => {
        const voters = getVoters(state.log);
        const committed =
            state.log.findLastIndex((_, at) =>
                isMajority(REPLICAS.filter(replica => state.held[replica]! > at), voters)
            ) + 1;
        return { ...state, committed: Math.max(state.committed, committed) };
    };

    const append = (state: ReplacementState, entry: number): ReplacementState =>
        advanceCommit({
            ...state,
            log: [...state.log, entry],
            held: state.held.map((held, replica) => replica === LEADER ? state.log.length + 1 : held),
        });

    const responds = ({ isSilent, isHanging }: ReplacementState, replica: number) =>
        !(replica === REPLACED && isSilent) && !(replica === SUCCESSOR && isHanging);

    const propose = (state: ReplacementState): Step<ReplacementState>[] =>
        state.proposals === 0 ? [] : [{
            label: "the leader appends a proposal",
            state: { ...append(state, 0), proposals: state.proposals - 1 },
        }];

    const replicate = (state: ReplacementState): Step<ReplacementState>[] =>
        REPLICAS
            .filter(replica => responds(state, replica) && state.held[replica]! < state.log.length)
            .map(replica => ({
                label: `${replica} stores an entry`,
                state: advanceCommit({
                    ...state,
                    held: state.held.map((held, other) => other === replica ? held + 1 : held),
                }),
            }));

    const changeMembership = (state: ReplacementState): Step<ReplacementState>[] => {
        const voters = getVoters(state.log);
        const isCommitted = state.log.findLastIndex(mask => mask !== 0) < state.committed;
        const isLearner = !includes(voters, SUCCESSOR);
        const isCaughtUp = state.held[SUCCESSOR]! >= state.committed
            || defect === ReplacementDefect.PromotesLaggingSuccessor;
        const mayRemove = !isLearner || defect === ReplacementDefect.RemovesFirst;
        if (!state.isSilent || !isCommitted) {
            return [];
        }
        return [
            ...isLearner && isCaughtUp
                ? [{
                    label: "the successor becomes a voter",
                    state: append(state, voters | toMask([SUCCESSOR])),
                }]
                : [],
            ...mayRemove && includes(voters, REPLACED)
                ? [{ label: "the silent voter is removed", state: append(state, voters & ~toMask([REPLACED])) }]
                : [],
        ];
    };

    const takesPart = (state: ReplacementState) =>
        includes(getVoters(state.log), SUCCESSOR) || state.held[SUCCESSOR]! >= state.committed;

    const fail = (state: ReplacementState): Step<ReplacementState>[] => [
        {
            label: state.isSilent ? "the silent voter returns" : "the voter falls silent",
            state: { ...state, isSilent: !state.isSilent },
        },
        ...state.isHanging ? [] : [{
            label: "the successor hangs",
            state: { ...state, isHanging: true, isSuccessorLost: takesPart(state) },
        }],
    ];

    const countLost = (state: ReplacementState) => {
        const committedVoters = getVoters(state.log.slice(0, state.committed));
        const isReplacedLost = state.isSilent && includes(committedVoters, REPLACED);
        return Number(isReplacedLost) + Number(state.isSuccessorLost);
    };

    const findLossViolation = (state: ReplacementState, lost: readonly number[]) => {
        const survivors = REPLICAS.filter(replica => responds(state, replica) && !lost.includes(replica));
        const longest = Math.max(...survivors.map(replica => state.held[replica]!));
        if (longest < state.committed) {
            return "a committed entry is lost";
        }
        const voters = getVoters(state.log.slice(0, longest));
        return isMajority(survivors, voters) ? undefined : "no majority is left";
    };

    return {
        name: `replacement (${defect})`,
        initial,
        next: state => [propose, replicate, changeMembership, fail].flatMap(action => action(state)),
        findViolation: state =>
            listSubsets(REPLICAS, TOLERATED_LOSSES - countLost(state))
                .map(lost => findLossViolation(state, lost))
                .find(violation => violation !== undefined),
        encode: state => JSON.stringify(Object.values(state)),
    };
}
