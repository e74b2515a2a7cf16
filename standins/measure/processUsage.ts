/** Memory and processor time of another process, from /proc. */
import { readFileSync } from "node:fs";

/** Linux counts processor time in hundredths of a second towards user space. */
const msPerTick = 10;

/** Resident set of a process in bytes. */
export function readResidentBytes(pid: number): number {
    const match = /^VmRSS:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${pid}/status`, "utf8"));
    return Number(match?.[1] ?? Number.NaN) * 1_024;
}

/** Processor time of a process in milliseconds, user and system together. */
export function readCpuMs(pid: number): number {
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    // The second field is the program's name in parentheses and may contain spaces.
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    return (Number(fields[11]) + Number(fields[12])) * msPerTick;
}
