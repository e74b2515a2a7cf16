/**
 * Persists the data of the burn report across restarts. Nothing depends on it: with a file that cannot be read, the report
 * starts anew, and the next save replaces the file.
 */
import { rename, writeFile } from "node:fs/promises";
import { join } from "node:path";
import * as z from "zod";
import { NodeFileSystem, readIfExists } from "./fileSystem.ts";

const savedSnapshotSchema = z.object({ savedAt: z.number(), snapshot: z.unknown() });

const saveIntervalMs = 10_000;

/** A snapshot read from the file, with the wall-clock time since it was saved. */
export interface SavedSnapshot<Snapshot> {
    readonly snapshot: Snapshot;
    readonly elapsedMs: number;
}

export interface BurnReportFileOptions<Snapshot> {
    /** Must exist. */
    readonly folder: string;
    /** Called for each save. */
    readonly createSnapshot: () => Snapshot;
    /** Throws if the snapshot that was read cannot be restored. */
    readonly parseSnapshot: (value: unknown) => Snapshot;
    /** Called with the reason when the file cannot be read, and for each save that fails. */
    readonly onFailure: (reason: string) => void;
}

/** Saves a snapshot every 10 s and on disposal. The report has no durability guarantee, so the file is not synced. */
export class BurnReportFile<Snapshot> implements AsyncDisposable {
    private readonly options: BurnReportFileOptions<Snapshot>;
    private readonly path: string;
    private timer: NodeJS.Timeout | undefined;
    private lastSave: Promise<void> = Promise.resolve();

    constructor(options: BurnReportFileOptions<Snapshot>) {
        this.options = options;
        this.path = join(options.folder, "burn.json");
    }

    /** Reads the saved snapshot. Returns undefined if the file is missing or invalid. */
    async read(): Promise<SavedSnapshot<Snapshot> | undefined> {
        try {
            const data = await readIfExists(new NodeFileSystem(), this.path);
            if (data === undefined) {
                return undefined;
            }
            const { savedAt, snapshot } = savedSnapshotSchema.parse(JSON.parse(data.toString("utf8")));
            return { snapshot: this.options.parseSnapshot(snapshot), elapsedMs: Math.max(0, Date.now() - savedAt) };
        }
        catch (error) {
            this.options.onFailure(`the burn report cannot be read and starts anew: ${String(error)}`);
            return undefined;
        }
    }

    start(): void {
        this.timer = setInterval(() => this.save(), saveIntervalMs);
    }

    async [Symbol.asyncDispose](): Promise<void> {
        clearInterval(this.timer);
        this.save();
        await this.lastSave;
    }

    private save(): void {
        const text = JSON.stringify({ savedAt: Date.now(), snapshot: this.options.createSnapshot() });
        this.lastSave = this.lastSave.then(() => this.write(text)).catch((error: unknown) =>
            this.options.onFailure(`the burn report cannot be saved: ${String(error)}`)
        );
    }

    private async write(text: string): Promise<void> {
        const temporary = `${this.path}.new`;
        await writeFile(temporary, text, { mode: 0o600 });
        await rename(temporary, this.path);
    }
}
