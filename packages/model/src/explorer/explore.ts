/**
 * Explicit-state model checker: exhaustive breadth-first search over the reachable states of a specification.
 */

/** A transition: its label in traces, and the state that it leads to. */
export type Step<State> = { readonly label: string; readonly state: State };

/** A protocol as a state machine, with the invariants that each of its reachable states must satisfy. */
export type Specification<State> = {
    readonly name: string;
    readonly initial: State;
    /** Returns all transitions from a state, including faults such as crashes and lost messages. */
    next(state: State): readonly Step<State>[];
    /** Returns a description of the first invariant that the state violates, or undefined when all hold. */
    findViolation(state: State): string | undefined;
    /** Returns the key of a state. States with equal keys are explored only once. */
    encode(state: State): string;
};

/** Result of an exploration. */
export type ExplorationResult = {
    /** Number of distinct states that were found. */
    readonly states: number;
    /** Number of transitions that were followed. */
    readonly steps: number;
    /** True when every reachable state was visited. */
    readonly isExhaustive: boolean;
    /** The violated invariant, and the labels of a shortest sequence of steps from the initial state to a violation. */
    readonly violation?: { readonly invariant: string; readonly trace: readonly string[] };
};

/** How a state was first reached: index of the visit of its predecessor, and label of the step from there. */
type Visit = { readonly parent: number; readonly label: string };

/**
 * Visits every reachable state, in the order of the distance from the initial state, until an invariant is violated.
 *
 * @param specification Specification to explore.
 * @param maximumStates Number of states at which the search stops without being exhaustive.
 * @returns Numbers of states and steps, and the first violation with a shortest trace.
 */
export function explore<State>(specification: Specification<State>, maximumStates: number): ExplorationResult {
    const seenKeys = new Set<string>([specification.encode(specification.initial)]);
    const visits: Visit[] = [{ parent: -1, label: "initial state" }];
    let frontier: { readonly state: State; readonly visit: number }[] = [{ state: specification.initial, visit: 0 }];
    let steps = 0;

    const buildTrace = (visit: number): string[] => {
        const labels: string[] = [];
        for (let current = visit; current > 0; current = visits[current]!.parent) {
            labels.push(visits[current]!.label);
        }
        return labels.reverse();
    };

    const initialViolation = specification.findViolation(specification.initial);
    if (initialViolation !== undefined) {
        return { states: 1, steps, isExhaustive: false, violation: { invariant: initialViolation, trace: [] } };
    }
    while (frontier.length > 0) {
        const nextFrontier: typeof frontier = [];
        for (const { state, visit } of frontier) {
            for (const step of specification.next(state)) {
                steps += 1;
                const key = specification.encode(step.state);
                if (seenKeys.has(key)) {
                    continue;
                }
                seenKeys.add(key);
                visits.push({ parent: visit, label: step.label });
                const nextVisit = visits.length - 1;
                const invariant = specification.findViolation(step.state);
                if (invariant !== undefined) {
                    const violation = { invariant, trace: buildTrace(nextVisit) };
                    return { states: seenKeys.size, steps, isExhaustive: false, violation };
                }
                if (seenKeys.size >= maximumStates) {
                    return { states: seenKeys.size, steps, isExhaustive: false };
                }
                nextFrontier.push({ state: step.state, visit: nextVisit });
            }
        }
        frontier = nextFrontier;
    }
    return { states: seenKeys.size, steps, isExhaustive: true };
}
