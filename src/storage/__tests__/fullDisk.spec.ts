import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EntryKind, type LogEntry } from "../../model/replicatedLog.ts";
import { StorageKind, type StorageRecovered, type StorageWrite, WriteKind } from "../../model/storageMessages.ts";
import type { Message } from "../../pipeline/message.ts";
import { SeededRandom } from "../../pipeline/seededRandom.ts";
import { MemberStorage } from "../memberStorage.ts";
import { SimulatedDisk } from "./simulatedDisk.ts";

const runs = Number(process.env["FULL_DISK_RUNS"] ?? 60);
const firstSeed = Number(process.env["FULL_DISK_SEED"] ?? 1);

/** Spreads consecutive seeds, whose first random numbers would otherwise be similar. */
const seedMultiplier = 0x9e3779b1;

const segmentBytes = 300;

interface State {
    readonly term: number;
    readonly votedFor: string | undefined;
    readonly snapshotIndex: number;
    readonly entries: readonly LogEntry[];
}

const emptyState: State = { term: 0, votedFor: undefined, snapshotIndex: 0, entries: [] };

function applyWrite(state: State, write: StorageWrite): State {
    switch (write.kind) {
        case WriteKind.Term:
            return { ...state, term: write.term, votedFor: write.votedFor };
        case WriteKind.Entries:
            return {
                ...state,
                entries: [...state.entries.filter(({ index }) => index < write.fromIndex), ...write.entries],
            };
        case WriteKind.Snapshot: {
            const { lastIndex } = write.snapshot;
            const entries = write.discardLog ? [] : state.entries.filter(({ index }) => index > lastIndex);
            return { ...state, snapshotIndex: lastIndex, entries };
        }
    }
}

function toState({ term, votedFor, snapshot, entries }: StorageRecovered): State {
    return { term, votedFor, snapshotIndex: snapshot?.lastIndex ?? 0, entries };
}

/** Waits by turns of the event loop instead of a timer, so that a seed always plays the same run. */
async function waitForTurns(): Promise<void> {
    for (let turn = 0; turn < 5; turn++) {
        await new Promise(resolve => setImmediate(resolve));
    }
}

/** A member's storage on a simulated disk, with the states after each write that was delivered. */
class StorageModel {
    readonly disk: SimulatedDisk;
    readonly kinds: string[] = [];
    storage!: MemberStorage;
    private readonly random: SeededRandom;
    /** Possible states of the disk: before the first write of this start, and after each one. */
    private states: State[] = [emptyState];
    private syncedWrites = 0;
    private nextTerm = 1;

    constructor(seed: number) {
        this.random = new SeededRandom(seed);
        this.disk = new SimulatedDisk(new SeededRandom(this.random.nextInteger(1 << 30)));
    }

    get latest(): State {
        return this.states.at(-1)!;
    }

    get isSynced(): boolean {
        return this.syncedWrites === this.states.length - 1;
    }

    async start(): Promise<void> {
        let isCurrent = true;
        const fileSystem = this.disk.mount();
        const post = (message: Message): void => {
            if (isCurrent) {
                this.receive(message);
            }
        };
        this.losePower = () => {
            isCurrent = false;
            this.disk.losePower();
        };
        const onOpenDelayed = (): void => {
            this.kinds.push("delayed");
            setImmediate(() => this.disk.full = false);
        };
        this.storage = await MemberStorage.open({
            ...{ folder: "/data", cluster: "c", memberId: "m", post, lockFolder: false },
            ...{ fileSystem, onOpenDelayed, segmentBytes, wait: waitForTurns, stallTimeoutMs: 60_000 },
        });
    }

    losePower: () => void = () => undefined;

    /** Opens the folder after a power loss, and checks what it holds. */
    async restart(seed: number): Promise<void> {
        this.losePower();
        await assert.doesNotReject(() => this.start(), `seed ${seed}`);
        const recovered = toState(this.storage.recovered);
        const candidates = this.states.slice(this.syncedWrites).map(state => JSON.stringify(state));
        assert.ok(
            candidates.includes(JSON.stringify(recovered)),
            `seed ${seed}: ${JSON.stringify(recovered)} is none of ${candidates.join("\n")}`,
        );
        this.states = [recovered];
        this.syncedWrites = 0;
    }

    deliverRandomWrite(): void {
        const write = this.randomWrite();
        this.states.push(applyWrite(this.latest, write));
        this.storage.deliver({ kind: StorageKind.Append, writeId: this.states.length - 1, write });
    }

    async waitUntilSynced(): Promise<void> {
        for (let turn = 0; turn < 2_000 && !this.isSynced; turn++) {
            await waitForTurns();
        }
    }

    private receive(message: Message): void {
        this.kinds.push(message.kind);
        if (message.kind === StorageKind.AppendDone) {
            this.syncedWrites = (message as Message & { readonly writeId: number; }).writeId;
        }
    }

    private randomWrite(): StorageWrite {
        const { entries, snapshotIndex, term } = this.latest;
        const lastIndex = entries.at(-1)?.index ?? snapshotIndex;
        const choice = this.random.nextInteger(10);
        if (choice === 0) {
            this.nextTerm = Math.max(this.nextTerm, term) + 1;
            return { kind: WriteKind.Term, term: this.nextTerm, votedFor: `m${this.nextTerm}` };
        }
        if (choice === 1 && entries.length > 2) {
            const discardLog = this.random.nextInteger(3) === 0;
            const index = discardLog ? lastIndex + 5 : snapshotIndex + 1 + this.random.nextInteger(entries.length);
            const snapshot = { lastIndex: index, lastTerm: 1, members: [], version: index, records: [] };
            return { kind: WriteKind.Snapshot, snapshot, discardLog };
        }
        const fromIndex = Math.max(snapshotIndex + 1, lastIndex + 1 - this.random.nextInteger(3));
        const count = 1 + this.random.nextInteger(3);
        const added = Array.from({ length: count }, (_, offset) => ({
            index: fromIndex + offset,
            term: this.nextTerm,
            body: { kind: EntryKind.NoOp },
        }));
        return { kind: WriteKind.Entries, fromIndex, entries: added };
    }
}

describe("storage on a disk that is full at times", () => {
    it("keeps every write that it reported as synced, and writes all of them once there is space", async () => {
        let failureCount = 0;
        for (let run = 0; run < runs; run++) {
            const seed = firstSeed + run;
            const random = new SeededRandom(seed * seedMultiplier >>> 1);
            const model = new StorageModel(random.nextInteger(1 << 30));
            await model.start();
            for (let step = 0; step < 40; step++) {
                model.disk.full = random.nextInteger(3) === 0;
                for (let count = random.nextInteger(4); count >= 0; count--) {
                    model.deliverRandomWrite();
                }
                for (let turns = random.nextInteger(30); turns > 0; turns--) {
                    await new Promise(resolve => setImmediate(resolve));
                }
                if (random.nextInteger(8) === 0) {
                    await model.restart(seed);
                }
            }
            model.disk.full = false;
            await model.waitUntilSynced();
            assert.ok(model.isSynced, `seed ${seed}: writes are missing`);
            assert.ok(!model.kinds.includes(StorageKind.Failed), `seed ${seed}`);
            const leftovers = model.disk.fileNames.filter(name => !/^(identity|term|snapshot|log-\d{8})$/.test(name));
            assert.deepEqual(leftovers, [], `seed ${seed}`);
            await model.restart(seed);
            await model.storage[Symbol.asyncDispose]();
            failureCount += model.disk.failureCount;
        }
        assert.ok(failureCount > runs, `only ${failureCount} operations failed`);
    });

    it("reports a full disk once, and that it takes writes again before the first result", async () => {
        const model = new StorageModel(1);
        await model.start();
        model.disk.full = true;
        model.deliverRandomWrite();
        await waitForTurns();
        model.deliverRandomWrite();
        assert.deepEqual(model.kinds, [StorageKind.Suspended]);
        model.disk.full = false;
        await model.waitUntilSynced();
        assert.deepEqual(model.kinds.slice(0, 3), [
            StorageKind.Suspended,
            StorageKind.Resumed,
            StorageKind.AppendDone,
        ]);
        await model.storage[Symbol.asyncDispose]();
    });

    it("ends within its stop on a full disk, without a failure", async () => {
        const model = new StorageModel(2);
        await model.start();
        model.disk.full = true;
        model.deliverRandomWrite();
        await waitForTurns();
        await model.storage[Symbol.asyncDispose]();
        assert.deepEqual(model.kinds, [StorageKind.Suspended]);
    });

    it("opens once there is space, if the disk is full at the start", async () => {
        const model = new StorageModel(3);
        model.disk.full = true;
        await model.start();
        assert.deepEqual(model.kinds, ["delayed"]);
        model.deliverRandomWrite();
        await model.waitUntilSynced();
        assert.ok(model.isSynced);
        await model.storage[Symbol.asyncDispose]();
    });
});
