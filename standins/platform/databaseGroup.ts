/** The databases of one service: who leads, and how commits get from the leader to the others. */
import { DatabaseRole } from "../../src/model/database.ts";
import type { Database } from "./database.ts";
import type { Commit } from "./replicatedLog.ts";

export class DatabaseGroup {
    readonly service: string;
    readonly members: Database[] = [];

    constructor(service: string) {
        this.service = service;
    }

    get newestTerm(): number {
        return Math.max(...this.members.map(({ term }) => term));
    }

    /** The database that led last; it may be down, or have stepped down. */
    get lastLeader(): Database | undefined {
        return this.members.find(({ ledTerm }) => ledTerm > 0 && ledTerm === this.newestLedTerm);
    }

    /**
     * Makes a database the primary of the next term with what it has received; the others drop what it lacks.
     * @returns the commits that are dropped, or undefined if the database leads already or does not run
     */
    promote(id: string): readonly Commit[] | undefined {
        const chosen = this.members.find(member => member.id === id && member.isRunning);
        if (chosen === undefined || chosen.role === DatabaseRole.Primary) {
            return undefined;
        }
        chosen.lead(this.newestTerm + 1);
        const others = this.members.filter(member => member !== chosen);
        return [...new Set(others.flatMap(member => member.followPrimary(chosen)))];
    }

    private get newestLedTerm(): number {
        return Math.max(...this.members.map(({ ledTerm }) => ledTerm));
    }
}
