/** What databases and the platform do, one JSON line for each event with the time of day, as in the logs of processes. */
import { appendFileSync } from "node:fs";

export class EventLog {
    private readonly file: string | undefined;

    /** @param file appended to; without it, nothing is written */
    constructor(file?: string) {
        this.file = file;
    }

    write(event: string, fields: Readonly<Record<string, string | number | boolean>>): void {
        if (this.file !== undefined) {
            appendFileSync(this.file, `${JSON.stringify({ time: new Date().toISOString(), event, ...fields })}\n`);
        }
    }
}
