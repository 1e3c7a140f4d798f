/**
 * Memory and CPU time of a process, as the kernel reports them in `/proc`.
 */
import { readFileSync } from "node:fs";

/** Length of a clock tick in `/proc/<pid>/stat`; 100 per second on all Linux platforms that Node supports. */
const TICK_MILLISECONDS = 10;
const KIB_IN_MIB = 1_024;

/** Reads the resident set size in MiB. */
export function readResidentMebibytes(processId: number): number {
    const line = /^VmRSS:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${processId}/status`, "utf8"));
    return Number(line?.[1]) / KIB_IN_MIB;
}

/** Reads the user and system time since the start of the process in milliseconds, with a resolution of 10 ms. */
export function readCpuMilliseconds(processId: number): number {
    // The name of the program, in parentheses, may contain spaces; the fields after it are numbered from 3.
    const fields = readFileSync(`/proc/${processId}/stat`, "utf8").split(") ")[1]!.split(" ");
    return (Number(fields[11]) + Number(fields[12])) * TICK_MILLISECONDS;
}
