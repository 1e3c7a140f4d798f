/**
 * Memory and processor time of a process, as the kernel counts them.
 */
import { readFileSync } from "node:fs";

/** Length of a clock tick in `/proc/<pid>/stat`; 100 a second on all Linux platforms that Node supports. */
const TICK_MILLISECONDS = 10;
const KIB_IN_MIB = 1_024;

/** Resident memory in MiB. */
export function readResidentMebibytes(processId: number): number {
    const line = /^VmRSS:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${processId}/status`, "utf8"));
    return Number(line?.[1]) / KIB_IN_MIB;
}

/** User and system time since the start in milliseconds, in steps of 10. */
export function readCpuMilliseconds(processId: number): number {
    // The name of the program, in parentheses, may hold spaces; the fields after it are numbered from 3.
    const fields = readFileSync(`/proc/${processId}/stat`, "utf8").split(") ")[1]!.split(" ");
    return (Number(fields[11]) + Number(fields[12])) * TICK_MILLISECONDS;
}
