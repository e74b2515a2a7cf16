/** Applies committed log entries to the control state and takes snapshots of the state. */
import { ProposalStatus } from "../model/controlMessages.ts";
import type { ConfigurationDocument } from "../model/document.ts";
import { EntryKind, type LogEntry, type OperationResult, type Snapshot } from "../model/replicatedLog.ts";
import { StorageKind, type StorageRecovered } from "../model/storageMessages.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { applyCommand } from "./applyCommand.ts";
import { type ControlState, emptyControlState, fromSnapshotRecords, toSnapshotRecords } from "./controlState.ts";
import { type Committed, type ConfigurationChanged, MemberKind, type SnapshotInstalled } from "./memberMessages.ts";

/** Entries between two snapshots: half a day of changes, which a start replays quickly. */
export const defaultSnapshotEntries = 1_024;

/**
 * Replaced documents that are passed on with the newest one, which a process may be unable to decode. A member that starts
 * again applies all entries since its snapshot at once.
 */
const passedDocuments = 4;

export interface ApplyFilterOptions {
    readonly snapshotEntries: number;
}

type ApplyInput = StorageRecovered | Committed | SnapshotInstalled;

export class ApplyFilter implements Filter<ApplyInput, Message> {
    readonly step = "apply";
    readonly accepts = [StorageKind.Recovered, MemberKind.Committed, MemberKind.SnapshotInstalled];
    private readonly options: ApplyFilterOptions;
    private state: ControlState = emptyControlState;
    private entriesSinceSnapshot = 0;

    constructor(options: ApplyFilterOptions) {
        this.options = options;
    }

    process(message: ApplyInput): readonly Message[] {
        switch (message.kind) {
            case StorageKind.Recovered:
                return message.snapshot === undefined ? [] : this.restore(message.snapshot);
            case MemberKind.SnapshotInstalled:
                return this.restore(message.snapshot);
            case MemberKind.Committed:
                return this.applyEntries(message.entries);
        }
    }

    private restore(snapshot: Snapshot): readonly Message[] {
        this.state = fromSnapshotRecords(snapshot.records, snapshot.version);
        this.entriesSinceSnapshot = 0;
        return [this.configurationChanged()];
    }

    private applyEntries(entries: readonly LogEntry[]): readonly Message[] {
        const { version, documentHeads: publishedHeads } = this.state.configuration;
        let replacedDocuments: readonly ConfigurationDocument[] = [];
        const results = entries.map(entry => {
            const { index, term } = entry;
            const { documentHeads, documentEntries } = this.state.configuration;
            const result = this.applyEntry(entry);
            if (documentHeads !== publishedHeads && documentHeads !== this.state.configuration.documentHeads) {
                const replaced = { ...documentHeads[0]!, entries: documentEntries };
                replacedDocuments = [replaced, ...replacedDocuments].slice(0, passedDocuments);
            }
            return { kind: MemberKind.EntryApplied, index, term, result } as Message;
        });
        this.entriesSinceSnapshot += entries.length;
        return [
            ...this.state.configuration.version > version ? [this.configurationChanged(replacedDocuments)] : [],
            ...results,
            ...this.entriesSinceSnapshot >= this.options.snapshotEntries ? [this.takeSnapshot(entries.at(-1)!)] : [],
        ];
    }

    private applyEntry({ index, body }: LogEntry): OperationResult {
        if (body.kind === EntryKind.Command) {
            const { state, result } = applyCommand(this.state, index, body.operationId, body.command);
            this.state = state;
            return result;
        }
        const configurationVersion = this.state.configuration.version;
        return { status: ProposalStatus.Applied, version: index, configurationVersion, detail: "" };
    }

    private takeSnapshot({ index, term }: LogEntry): Message {
        this.entriesSinceSnapshot = 0;
        const { version } = this.state.configuration;
        const head = { kind: MemberKind.SnapshotDue, lastIndex: index, lastTerm: term };
        return { ...head, version, records: toSnapshotRecords(this.state) } as Message;
    }

    private configurationChanged(replacedDocuments: readonly ConfigurationDocument[] = []): ConfigurationChanged {
        const { configuration } = this.state;
        return {
            kind: MemberKind.ConfigurationChanged,
            configuration,
            ...replacedDocuments.length === 0 ? {} : { replacedDocuments },
        };
    }
}
