/** Reads memory and processor time of another process from /proc. */
import { readFileSync } from "node:fs";

/** Linux reports processor time to user space in hundredths of a second. */
const msPerTick = 10;

/** Returns the resident set size of a process in bytes. */
export function readResidentBytes(pid: number): number {
    const match = /^VmRSS:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${pid}/status`, "utf8"));
    return Number(match?.[1] ?? Number.NaN) * 1_024;
}

/** Returns the user and system processor time of a process in milliseconds. */
export function readCpuMs(pid: number): number {
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    // The second field is the program name in parentheses, which may contain spaces.
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    return (Number(fields[11]) + Number(fields[12])) * msPerTick;
}
