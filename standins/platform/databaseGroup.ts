/** The databases of one service: who leads, and how commits get from the leader to the others. */
import { DatabaseRole } from "../../src/model/database.ts";
import type { Database } from "./database.ts";
import { EventLog } from "./eventLog.ts";

export class DatabaseGroup {
    readonly service: string;
    readonly events: EventLog;
    /** Also databases that are down and come back. */
    readonly members: Database[] = [];
    /** The database that led last; it may be down, gone, or have stepped down. */
    leader: Database | undefined;

    constructor(service: string, events = new EventLog()) {
        this.service = service;
        this.events = events;
    }

    get newestTerm(): number {
        return Math.max(this.leader?.term ?? 1, ...this.members.map(({ term }) => term));
    }

    get running(): readonly Database[] {
        return this.members.filter(({ isRunning }) => isRunning);
    }

    /** Adds a database, in the place of its predecessor if it has one. */
    add(database: Database, predecessor: Database | undefined): void {
        this.remove(predecessor);
        this.members.push(database);
    }

    remove(database: Database | undefined): void {
        const index = this.members.indexOf(database!);
        if (index !== -1) {
            this.members.splice(index, 1);
        }
    }

    /**
     * Makes a database the primary of the next term with what it has received; the others drop what it lacks.
     * @returns undefined if the database leads already or does not run
     */
    promote(id: string): Database | undefined {
        const chosen = this.running.find(member => member.id === id);
        if (chosen === undefined || chosen.role === DatabaseRole.Primary) {
            return undefined;
        }
        chosen.lead(this.newestTerm + 1);
        this.events.write("promoted", { database: id, position: chosen.position() });
        this.leader = chosen;
        this.members.filter(member => member !== chosen).forEach(member => member.followPrimary());
        return chosen;
    }
}
