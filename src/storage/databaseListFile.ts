/**
 * Keeps the databases that report to the control members on a member's disk. The list shortens a start and nothing depends
 * on it: a file that is missing, damaged or from another release counts as empty, and a failed write is repeated with the
 * next change.
 */
import { join } from "node:path";
import * as z from "zod";
import { databaseReportSchema } from "../model/databaseReportSchema.ts";
import { type DatabaseListChanged, type DatabaseReport, FleetKind } from "../model/fleetMessages.ts";
import type { Sink } from "../pipeline/sink.ts";
import { readRecords, writeAtomically } from "./atomicFile.ts";
import { type FileSystem, NodeFileSystem } from "./fileSystem.ts";

const fileName = "databases";

const listSchema = z.array(databaseReportSchema);

export interface DatabaseListFileOptions {
    /** Must exist. */
    readonly folder: string;
    /** Called with the reason when the list cannot be read or written. */
    readonly onFailure: (reason: string) => void;
    /** By default the file system of the operating system. */
    readonly fileSystem?: FileSystem;
}

export class DatabaseListFile implements Sink<DatabaseListChanged>, AsyncDisposable {
    readonly accepts = [FleetKind.DatabaseListChanged];
    private readonly options: DatabaseListFileOptions;
    private readonly fileSystem: FileSystem;
    private readonly path: string;
    /** The newest list that is not being written yet. */
    private pending: readonly DatabaseReport[] | undefined;
    private writing: Promise<void> | undefined;

    constructor(options: DatabaseListFileOptions) {
        this.options = options;
        this.fileSystem = options.fileSystem ?? new NodeFileSystem();
        this.path = join(options.folder, fileName);
    }

    async read(): Promise<readonly DatabaseReport[]> {
        try {
            const [record] = await readRecords(this.fileSystem, this.path) ?? [[]];
            return listSchema.parse(record);
        }
        catch (error) {
            this.options.onFailure(`the list of databases cannot be read: ${String(error)}`);
            return [];
        }
    }

    deliver({ reports }: DatabaseListChanged): void {
        this.pending = reports;
        this.writing ??= this.writePending();
    }

    /** Waits for the write that is under way. */
    async [Symbol.asyncDispose](): Promise<void> {
        await this.writing;
    }

    private async writePending(): Promise<void> {
        while (this.pending !== undefined) {
            const reports = this.pending;
            this.pending = undefined;
            try {
                await writeAtomically(this.fileSystem, this.path, [reports]);
            }
            catch (error) {
                this.options.onFailure(`the list of databases cannot be written: ${String(error)}`);
            }
        }
        this.writing = undefined;
    }
}
