import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
    type HolderAnswer,
    type HolderForward,
    HolderKind,
    type HolderRequest,
    type HolderStreamLost,
} from "../../model/holderMessages.ts";
import { type Outcome, OutcomeKind } from "../../model/outcome.ts";
import { StatementKind } from "../../model/statement.ts";
import type { Message } from "../../pipeline/message.ts";
import { HolderService } from "../holderService.ts";
import { HolderStreams } from "../holderStreams.ts";
import { PeerAuthentication } from "../peerAuthentication.ts";
import { createPeerServer, listen } from "../peerChannel.ts";
import { PeerClientFactory } from "../peerClientFactory.ts";

const secret = "the right cluster secret";

function authenticationWith(sent: string): PeerAuthentication {
    return new PeerAuthentication({ cluster: "c", instanceId: "a", secret: sent });
}

/** Messages in order, with a way to wait for the next one that fits. */
class Inbox {
    private readonly messages: Message[] = [];
    private readonly waiters: { readonly kind: string; readonly resolve: (message: Message) => void; }[] = [];

    readonly post = (message: Message): void => {
        const index = this.waiters.findIndex(({ kind }) => kind === message.kind);
        const [waiter] = index < 0 ? [] : this.waiters.splice(index, 1);
        if (waiter === undefined) {
            this.messages.push(message);
        }
        else {
            waiter.resolve(message);
        }
    };

    next<Kind extends Message>(kind: Kind["kind"]): Promise<Kind> {
        const index = this.messages.findIndex(message => message.kind === kind);
        if (index >= 0) {
            return Promise.resolve(this.messages.splice(index, 1)[0] as Kind);
        }
        return new Promise(resolve => this.waiters.push({ kind, resolve: message => resolve(message as Kind) }));
    }
}

class Pair implements AsyncDisposable {
    readonly entry = new Inbox();
    readonly holder = new Inbox();
    readonly server = createPeerServer(authenticationWith(secret));
    readonly service = new HolderService({
        post: this.holder.post,
        nowMs: () => 5_000,
    });
    readonly stream: HolderStreams;
    address = "";

    constructor(sent = secret) {
        this.stream = new HolderStreams({
            clientFactory: new PeerClientFactory({ authentication: authenticationWith(sent) }),
            post: this.entry.post,
        });
    }

    async start(): Promise<this> {
        this.service.register(this.server);
        this.address = `127.0.0.1:${await listen(this.server, "127.0.0.1:0")}`;
        return this;
    }

    forward(requestId: string, parts: Partial<HolderForward> = {}): void {
        const statement: HolderForward = {
            kind: HolderKind.Forward,
            holderAddress: this.address,
            requestId,
            sessionId: "s1",
            databaseId: "p",
            callerId: "k1",
            workspace: "w1",
            workClass: "default",
            statementKind: StatementKind.Read,
            text: "SELECT 1",
            floor: { term: 2, offset: 7 },
            deadlineMs: 1_250,
            idempotencyId: undefined,
            repeatable: true,
            pinned: true,
            ...parts,
        };
        this.stream.deliver(statement, 1_000);
    }

    reply(origin: string, requestId: string, outcome: Outcome): void {
        this.service.deliver({
            kind: HolderKind.Reply,
            origin,
            requestId,
            outcome,
            written: { term: 2, offset: 9 },
            inTransaction: true,
            pinned: true,
        });
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.stream[Symbol.asyncDispose]();
        await this.service[Symbol.asyncDispose]();
        this.server.forceShutdown();
    }
}

const done: Outcome = { kind: OutcomeKind.Done, affectedRows: 3, insertId: 4 };

describe("holder stream", () => {
    it("carries a statement with its time left, so that clocks of two machines are not compared", async () => {
        await using pair = await new Pair().start();
        pair.forward("q1");
        const request = await pair.holder.next<HolderRequest>(HolderKind.Request);
        assert.equal(request.deadlineMs, 5_250);
        assert.deepEqual([request.floor, request.pinned, request.repeatable], [{ term: 2, offset: 7 }, true, true]);
    });

    it("keeps the bytes of binary cells, text in utf8 and NULL apart", async () => {
        await using pair = await new Pair().start();
        pair.forward("q1");
        const { origin } = await pair.holder.next<HolderRequest>(HolderKind.Request);
        const outcome: Outcome = {
            kind: OutcomeKind.Rows,
            columns: [63, 45, 45].map(characterSet => ({ name: "c", type: 253, characterSet, flags: 0 })),
            rows: [["\u0000\u00ff\u0080", "\u00e9\u4e2d", undefined], ["", "", ""]],
        };
        pair.reply(origin, "q1", outcome);
        const answer = await pair.entry.next<HolderAnswer>(HolderKind.Answer);
        assert.deepEqual(answer.outcome, outcome);
        assert.deepEqual(answer.written, { term: 2, offset: 9 });
    });

    it("drops an answer to a request that is not open, so that it cannot reach another one", async () => {
        await using pair = await new Pair().start();
        pair.forward("q1");
        const { origin } = await pair.holder.next<HolderRequest>(HolderKind.Request);
        pair.reply(origin, "q0", done);
        pair.reply(origin, "q1", done);
        pair.reply(origin, "q1", done);
        const answer = await pair.entry.next<HolderAnswer>(HolderKind.Answer);
        assert.equal(answer.requestId, "q1");
        pair.forward("q2");
        await pair.holder.next<HolderRequest>(HolderKind.Request);
        pair.reply(origin, "q2", done);
        assert.equal((await pair.entry.next<HolderAnswer>(HolderKind.Answer)).requestId, "q2");
    });

    it("reports unanswered requests and ended sessions when the stream is lost", async () => {
        await using pair = await new Pair().start();
        pair.forward("q1");
        const { origin } = await pair.holder.next<HolderRequest>(HolderKind.Request);
        await pair.stream[Symbol.asyncDispose]();
        const atEntry = await pair.entry.next<HolderStreamLost>(HolderKind.StreamLost);
        assert.deepEqual([atEntry.holderAddress, atEntry.requestIds], [pair.address, ["q1"]]);
        const atHolder = await pair.holder.next<HolderStreamLost>(HolderKind.StreamLost);
        assert.equal(atHolder.origin, origin);
    });

    it("answers as not run what never left, because no holder accepted the stream", async () => {
        await using pair = await new Pair("another cluster secret").start();
        pair.forward("q1");
        const answer = await pair.entry.next<HolderAnswer>(HolderKind.Answer);
        assert.equal(answer.outcome.kind === OutcomeKind.Refused && answer.outcome.refusal.code, "holder_unavailable");
        const lost = await pair.entry.next<HolderStreamLost>(HolderKind.StreamLost);
        assert.deepEqual(lost.requestIds, []);
    });
});
