/** Persists the data of the burn report across restarts. */
import { readFile, rename, writeFile } from "node:fs/promises";
import { join } from "node:path";
import * as z from "zod";

const savedSnapshotSchema = z.object({ savedAt: z.number(), snapshot: z.looseObject({ instanceId: z.string() }) });

const saveIntervalMs = 10_000;

/** A snapshot read from the file, with the wall-clock time since it was saved. */
export interface SavedSnapshot<Snapshot> {
    readonly snapshot: Snapshot;
    readonly elapsedMs: number;
}

/** Saves a snapshot every 10 s and on disposal. The report has no durability guarantee, so the file is not synced. */
export class BurnReportFile<Snapshot extends { readonly instanceId: string; }> implements AsyncDisposable {
    private readonly path: string;
    private readonly createSnapshot: () => Snapshot;
    private timer: NodeJS.Timeout | undefined;
    private lastSave: Promise<void> = Promise.resolve();

    /** @param createSnapshot called for each save */
    constructor(folder: string, createSnapshot: () => Snapshot) {
        this.path = join(folder, "burn.json");
        this.createSnapshot = createSnapshot;
    }

    /** Reads the saved snapshot. Returns undefined if the file is missing or invalid. */
    async read(): Promise<SavedSnapshot<Snapshot> | undefined> {
        try {
            const { savedAt, snapshot } = savedSnapshotSchema.parse(JSON.parse(await readFile(this.path, "utf8")));
            return { snapshot: snapshot as unknown as Snapshot, elapsedMs: Math.max(0, Date.now() - savedAt) };
        }
        catch {
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
        const text = JSON.stringify({ savedAt: Date.now(), snapshot: this.createSnapshot() });
        this.lastSave = this.lastSave.then(() => this.write(text)).catch(() => undefined);
    }

    private async write(text: string): Promise<void> {
        const temporary = `${this.path}.new`;
        await writeFile(temporary, text, { mode: 0o600 });
        await rename(temporary, this.path);
    }
}
