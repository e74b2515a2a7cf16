import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { emptyControlState } from "../../control/controlState.ts";
import { putDocument } from "../../control/documentCommands.ts";
import { ClusterKind } from "../../model/clusterMessages.ts";
import {
    CommandKind,
    ControlKind,
    type ControlPropose,
    ProposalStatus,
    type PutDocument,
} from "../../model/controlMessages.ts";
import {
    type ConfigurationDocument,
    type DocumentAnswered,
    type DocumentEntry,
    DocumentKind,
    DocumentResult,
    emptyDocument,
} from "../../model/document.ts";
import type { Message } from "../../pipeline/message.ts";
import { ConfigurationDocuments } from "../configurationDocuments.ts";
import { diffDocuments } from "../documentDifference.ts";

function document(documentVersion: number, ...names: readonly string[]): ConfigurationDocument {
    const entries = names.map((name, position): DocumentEntry => ({
        entryId: `routes/${name}`,
        body: `"${name}"`,
        place: position + 1,
    }));
    return { documentVersion, sections: [{ name: "routes", list: true }], entries };
}

class LeaderFixture {
    readonly documents = new ConfigurationDocuments();
    readonly proposals: ControlPropose[] = [];
    readonly answers: DocumentAnswered[] = [];

    constructor() {
        this.feed({ kind: ControlKind.LeaderChanged, leading: true, term: 1, leaderAddress: "a:1" } as Message);
    }

    feed(message: Message): void {
        for (const output of this.documents.process(message as never, 0)) {
            if (output.kind === ControlKind.Propose) {
                this.proposals.push(output as ControlPropose);
            }
            else if (output.kind === DocumentKind.Answered) {
                this.answers.push(output as DocumentAnswered);
            }
        }
    }

    put(requestId: string, sent: ConfigurationDocument): void {
        this.feed({ kind: DocumentKind.Put, requestId, document: sent } as Message);
    }

    apply(applied: ConfigurationDocument): void {
        const { entries, ...head } = applied;
        const configuration = { documentHeads: [head], documentEntries: entries };
        this.feed({ kind: ClusterKind.ConfigurationApplied, configuration } as never);
    }

    endProposal(status: ProposalStatus): void {
        const { proposalId } = this.proposals.at(-1)!;
        this.feed({ kind: ControlKind.ProposalEnded, proposalId, status } as Message);
    }

    resultOf(requestId: string): string | undefined {
        return this.answers.find(answer => answer.requestId === requestId)?.result;
    }
}

describe("configuration documents on the leader", () => {
    it("are acknowledged only after their commit", () => {
        const leader = new LeaderFixture();
        leader.put("1", document(3, "a"));
        assert.equal(leader.resultOf("1"), undefined);
        leader.apply(document(3, "a"));
        leader.endProposal(ProposalStatus.Applied);
        assert.equal(leader.resultOf("1"), DocumentResult.Accepted);
    });

    it("are proposed one at a time, the highest waiting version first; lower ones are acknowledged with it", () => {
        const leader = new LeaderFixture();
        leader.put("1", document(3, "a"));
        leader.put("2", document(4, "a", "b"));
        leader.put("3", document(6, "a", "c"));
        assert.equal(leader.proposals.length, 1);
        leader.apply(document(3, "a"));
        leader.endProposal(ProposalStatus.Applied);
        assert.equal((leader.proposals[1]!.command as PutDocument).head.documentVersion, 6);
        leader.apply(document(6, "a", "c"));
        leader.endProposal(ProposalStatus.Applied);
        assert.deepEqual(["2", "3"].map(id => leader.resultOf(id)), [DocumentResult.Accepted, DocumentResult.Accepted]);
    });

    it("are acknowledged without a change if they are not newer", () => {
        const leader = new LeaderFixture();
        leader.apply(document(5, "a"));
        leader.put("1", document(5, "other"));
        assert.equal(leader.resultOf("1"), DocumentResult.Accepted);
        assert.equal(leader.proposals.length, 0);
    });

    it("are refused alone if they are too large; lower versions are proposed afterwards", () => {
        const leader = new LeaderFixture();
        leader.put("1", document(3, "a"));
        leader.put("2", document(4, "b"));
        leader.put("3", document(6, "c"));
        leader.apply(document(3, "a"));
        leader.endProposal(ProposalStatus.Applied);
        leader.endProposal(ProposalStatus.Invalid);
        assert.deepEqual(["2", "3"].map(id => leader.resultOf(id)), [undefined, DocumentResult.TooLarge]);
        assert.equal((leader.proposals[2]!.command as PutDocument).head.documentVersion, 4);
    });

    it("are answered as unavailable when the leadership is lost", () => {
        const leader = new LeaderFixture();
        leader.put("1", document(3, "a"));
        leader.feed({ kind: ControlKind.LeaderChanged, leading: false, term: 2 } as Message);
        assert.equal(leader.resultOf("1"), DocumentResult.Unavailable);
    });

    it("are read after a read barrier on the leader, and redirected to the leader elsewhere", () => {
        const leader = new LeaderFixture();
        leader.apply(document(5, "a"));
        leader.feed({ kind: DocumentKind.Read, requestId: "r" } as Message);
        assert.equal(leader.proposals[0]!.command.kind, CommandKind.ReadBarrier);
        assert.equal(leader.resultOf("r"), undefined);
        leader.endProposal(ProposalStatus.Conflict);
        assert.equal(leader.resultOf("r"), DocumentResult.Found);
        leader.feed({ kind: ControlKind.LeaderChanged, leading: false, term: 2, leaderAddress: "b:1" } as Message);
        leader.feed({ kind: DocumentKind.Read, requestId: "s" } as Message);
        assert.equal(leader.resultOf("s"), DocumentResult.Redirect);
    });
});

describe("differences of documents", () => {
    it("change any document into any other and keep the order of elements", () => {
        const steps = [
            document(1, "a", "b", "c"),
            document(2, "a", "b", "c", "d"),
            document(3, "b", "d"),
            document(4, "d", "b", "a"),
            document(5),
        ];
        let state = emptyControlState;
        let before = emptyDocument;
        for (const after of steps) {
            state = putDocument(state, diffDocuments(before, after)).state;
            const { documentEntries } = state.configuration;
            const stored = [...documentEntries].sort((left, right) => left.place - right.place);
            assert.deepEqual(stored.map(({ body }) => body), after.entries.map(({ body }) => body));
            before = { ...after, entries: documentEntries };
        }
    });

    it("contain only the added route", () => {
        const before = document(1, "a", "b");
        const change = diffDocuments(before, document(2, "a", "b", "c"));
        assert.deepEqual(change.upserts.map(({ entryId }) => entryId), ["routes/c"]);
        assert.deepEqual(change.removals, []);
    });

    it("contain one entry if a route is inserted between others", () => {
        // Guards against sending the whole configuration between regions at every change.
        const others: readonly DocumentEntry[] = [{ entryId: "services/s", body: "1", place: 1 }, {
            entryId: "limits",
            body: "2",
            place: 1,
        }];
        const sections = [
            { name: "routes", list: true },
            { name: "services", list: true },
            { name: "limits", list: false },
        ];
        const before = { ...document(1, "a", "b"), sections };
        const after = { ...document(2, "a", "aa", "b"), sections };
        const change = diffDocuments(
            { ...before, entries: [...before.entries, ...others] },
            { ...after, entries: [...after.entries, ...others] },
        );
        assert.deepEqual([change.upserts.length, change.removals.length], [1, 0]);
    });

    it("renumber a section if places come too close", () => {
        let state = emptyControlState;
        const names = ["z"];
        for (let version = 1; version < 40; version++) {
            names.unshift(`n${version}`);
            const { documentHeads, documentEntries } = state.configuration;
            const before = { ...documentHeads[0] ?? emptyDocument, entries: documentEntries };
            state = putDocument(state, diffDocuments(before, document(version, ...names))).state;
        }
        const stored = [...state.configuration.documentEntries].sort((left, right) => left.place - right.place);
        assert.deepEqual(stored.map(({ entryId }) => entryId), names.map(name => `routes/${name}`));
    });

    it("conflict with a document of another version", () => {
        const state = putDocument(emptyControlState, diffDocuments(emptyDocument, document(2, "a"))).state;
        const late = diffDocuments(emptyDocument, document(3, "b"));
        assert.equal(putDocument(state, late).status, ProposalStatus.Conflict);
    });
});
