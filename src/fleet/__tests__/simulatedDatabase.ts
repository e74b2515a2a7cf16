/** One process of a database with a replicated log, as the databases of the platform behave. */
import { type DatabaseReport, ReportedState } from "../../model/fleetMessages.ts";
import { type DatabaseStatus, type LinkCommand, LinkCommandKind } from "../../model/linkMessages.ts";
import type { Position } from "../../model/position.ts";

interface Commit {
    readonly term: number;
    readonly number: number;
}

/** A commit of a primary that no replica has confirmed yet. */
interface UnconfirmedCommit {
    readonly offset: number;
    /** The database acknowledges the commit. */
    readonly confirm: () => void;
}

export class SimulatedDatabase {
    readonly id: string;
    readonly address: string;
    /** The name of its machine. */
    readonly dataCentre: string;
    readonly bornUnixMs: number;
    running = true;
    /** The machine answers nothing and receives nothing. */
    dark = false;
    /** A replica that receives nothing, but answers. */
    deaf = false;
    /** Neither reports nor links pass between the machine and the control members. */
    cutFromControl = false;
    /** Machines with which no commits and confirmations are exchanged, by address. */
    readonly cutFrom = new Set<string>();
    /** Control members that neither reports nor links of this database reach. */
    readonly cutFromMembers = new Set<string>();
    /** Number of the control member that the next report goes to. */
    contact = 0;
    /** Reports that a cut has delayed. */
    heldReports: DatabaseReport[] = [];
    /** Added to the time after which a replica receives a commit. */
    lagMs = 0;
    draining = false;
    leads = false;
    term = 1;
    /** Term that the database led last; commits are received from the database that led the newest one. */
    ledTerm = 0;
    log: readonly Commit[] = [];
    /** Commits that wait for a replica's confirmation. */
    unconfirmed: readonly UnconfirmedCommit[] = [];
    private pausedTerm = 0;
    private sequence = 0;

    constructor(id: string, address: string, bornUnixMs: number) {
        this.id = id;
        this.address = address;
        this.dataCentre = address.split(":")[0]!;
        this.bornUnixMs = bornUnixMs + 1;
        this.ledTerm = bornUnixMs === 0 && id === "d0" ? 1 : 0;
    }

    get position(): Position {
        return { term: this.log.at(-1)?.term ?? 0, offset: this.log.length };
    }

    report(service: string): DatabaseReport {
        return {
            databaseId: this.id,
            service,
            address: this.address,
            dataCentre: this.dataCentre,
            slots: 3,
            state: this.draining ? ReportedState.Draining : ReportedState.Ready,
            leads: this.leads,
            sequence: ++this.sequence,
            bornUnixMs: this.bornUnixMs,
        };
    }

    /** Receives the log of `source` up to `offset`; returns whether this database has that much of it. */
    receive(source: SimulatedDatabase, offset: number): boolean {
        if (!this.running || this.dark || this.deaf || this.leads || this.pausedTerm > 0) {
            return false;
        }
        if (this.log.length < offset) {
            this.log = source.log.slice(0, offset);
        }
        this.term = Math.max(this.term, source.ledTerm);
        return true;
    }

    /** A replica has received the log up to `offset`. */
    confirm(offset: number): void {
        const confirmed = this.unconfirmed.filter(commit => commit.offset <= offset);
        this.unconfirmed = this.unconfirmed.filter(commit => commit.offset > offset);
        confirmed.forEach(commit => commit.confirm());
    }

    isCutFromMember(memberId: string): boolean {
        return this.cutFromControl || this.cutFromMembers.has(memberId);
    }

    isCutFrom({ address, cutFrom }: SimulatedDatabase): boolean {
        return this.cutFrom.has(address) || cutFrom.has(this.address);
    }

    /** Another database was promoted: this one receives again, and drops the commits that the new primary lacks. */
    follow(kept: ReadonlySet<number>): void {
        this.pausedTerm = 0;
        this.leads = false;
        this.unconfirmed = [];
        this.log = this.log.filter(({ number }) => kept.has(number));
    }

    execute(command: LinkCommand, newestTerm: number): DatabaseStatus {
        if (command.kind === LinkCommandKind.Pause && !this.leads && command.term > newestTerm) {
            this.pausedTerm = command.term;
        }
        if (command.kind === LinkCommandKind.StepDown && this.leads && command.term > this.term) {
            this.leads = false;
        }
        if (command.kind === LinkCommandKind.Resume) {
            this.pausedTerm = 0;
        }
        return { leads: this.leads, term: this.term, receivedPosition: this.position, heldTerm: this.pausedTerm };
    }
}
