import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type CallerAnswer, type CallerDisconnect, CallerKind } from "../../model/callerMessages.ts";
import { ClusterKind } from "../../model/clusterMessages.ts";
import type { Configuration } from "../../model/configuration.ts";
import { DatabaseRole } from "../../model/database.ts";
import { HolderKind, type HolderRequest } from "../../model/holderMessages.ts";
import { ResourceKind } from "../../model/lease.ts";
import { OutcomeKind } from "../../model/outcome.ts";
import { PermitKind, type PermitRequest } from "../../model/permitMessages.ts";
import { RefusalCode } from "../../model/refusal.ts";
import { DeadlineKind } from "../../pipeline/deadlineQueue.ts";
import type { Message } from "../../pipeline/message.ts";
import { Pipe } from "../../pipeline/pipe.ts";
import { SeededRandom } from "../../pipeline/seededRandom.ts";
import { AcceptFilter } from "../accept.ts";
import { AdmitFilter } from "../admit.ts";
import { AnswerFilter } from "../answer.ts";
import { AuthenticateFilter } from "../authenticate.ts";
import { ClassifyFilter } from "../classify.ts";
import { RouteFilter } from "../route.ts";
import { createDatabase, shopConfiguration } from "./shopFixture.ts";

const instance = { instanceId: "e1", incarnation: "i", dataCentre: "a" };

const configuration: Configuration = {
    ...shopConfiguration,
    leases: [{
        resource: ResourceKind.Permits,
        resourceId: "shop@a",
        instanceId: "e1",
        instanceAddress: "",
        epoch: 1,
    }],
};

const primary = createDatabase("p", DatabaseRole.Primary);

/** The request pipe with one caller. */
class RequestFixture {
    readonly outputs: Message[] = [];
    private readonly pipe = new Pipe("request", [
        new AcceptFilter({ maximumConnections: 10, maximumStatementBytes: 1_000 }),
        new AuthenticateFilter({ verify: (_, proofHex, digest) => proofHex === digest }),
        new ClassifyFilter(),
        new AdmitFilter(instance),
        new RouteFilter({
            ...instance,
            random: new SeededRandom(1),
            tokenCodec: { encode: () => "", decode: () => undefined },
        }),
        new AnswerFilter(),
    ]);

    constructor({ available = true, keyId = "key-1", service = "boards" } = {}) {
        this.process({ kind: ClusterKind.ConfigurationApplied, configuration });
        this.process({ kind: ClusterKind.ConfigurationProved, version: configuration.version, provedAtMs: 0 });
        this.process({ kind: ClusterKind.DatabasesChanged, databases: [{ ...primary, service, available }] });
        this.process({ kind: CallerKind.Connected, connectionId: 1, remoteAddress: "" });
        this.process({ kind: CallerKind.Login, connectionId: 1, keyId, service, challengeHex: "", proofHex: "good" });
    }

    process(message: Message & Record<string, unknown>): void {
        this.outputs.push(...this.pipe.process(message, 0));
    }

    send(text: string, sequence = 0): void {
        this.process({ kind: CallerKind.Statement, connectionId: 1, sequence, text });
    }

    grantPermit(): void {
        const { requestId } = this.last(PermitKind.Request) as PermitRequest;
        const body = { requestId, workspace: "shop", granted: 1, retryAfterMs: 0, answered: true };
        this.process({ kind: PermitKind.Granted, ...body });
    }

    withdraw(): void {
        this.process({
            kind: ClusterKind.ConfigurationApplied,
            configuration: { ...configuration, version: configuration.version + 1, keys: [], openRoutes: [] },
        });
    }

    /** Kinds of what the caller gets, with the codes of its refusals. */
    get received(): readonly (readonly unknown[])[] {
        return this.outputs.flatMap(message =>
            message.kind === CallerKind.Answer
                ? [[message.kind, codeOf(message as CallerAnswer)]]
                : message.kind === CallerKind.Disconnect
                ? [[message.kind, (message as CallerDisconnect).refusal.code]]
                : []
        );
    }

    last(kind: string): Message | undefined {
        return this.outputs.findLast(message => message.kind === kind);
    }
}

function codeOf({ outcome }: CallerAnswer): string | undefined {
    return outcome.kind === OutcomeKind.Refused ? outcome.refusal.code : undefined;
}

const notRun = [
    [CallerKind.Answer, RefusalCode.KeyWithdrawn],
    [CallerKind.Disconnect, RefusalCode.KeyWithdrawn],
];

describe("a statement of a key that is withdrawn", () => {
    // Guards against statements that are read, and whose caller sees a lost connection only.
    it("is refused as not run while it waits for a permit", () => {
        const fixture = new RequestFixture();
        fixture.send("INSERT INTO boards VALUES (1)");
        fixture.withdraw();
        assert.deepEqual(fixture.received, notRun);
        fixture.grantPermit();
        assert.equal(fixture.last(HolderKind.Request), undefined);
    });

    it("is refused as not run while it waits for a primary", () => {
        const fixture = new RequestFixture({ available: false });
        fixture.send("INSERT INTO boards VALUES (1)");
        fixture.grantPermit();
        fixture.withdraw();
        assert.deepEqual(fixture.received, notRun);
        fixture.process({ kind: ClusterKind.DatabasesChanged, databases: [{ ...primary, available: true }] });
        assert.equal(fixture.last(HolderKind.Request), undefined);
    });

    it("is answered as in doubt once a holder has it, and ended there", () => {
        const fixture = new RequestFixture();
        fixture.send("INSERT INTO boards VALUES (1)");
        fixture.grantPermit();
        const request = fixture.last(HolderKind.Request) as HolderRequest;
        fixture.withdraw();
        assert.deepEqual(fixture.received, [
            [CallerKind.Answer, RefusalCode.ConnectionLost],
            [CallerKind.Disconnect, RefusalCode.KeyWithdrawn],
        ]);
        assert.equal((fixture.last(HolderKind.SessionEnd) as HolderRequest).sessionId, request.sessionId);
        const outcome = { kind: OutcomeKind.Done, affectedRows: 1, insertId: 0 };
        const { requestId } = request;
        fixture.process({ kind: HolderKind.Answer, requestId, outcome, inTransaction: false, pinned: false });
        assert.equal(fixture.received.length, 2);
    });

    it("is refused as not run on a route that is no longer open", () => {
        const fixture = new RequestFixture({ keyId: "", service: "catalogue" });
        fixture.send("SELECT 1");
        fixture.withdraw();
        assert.deepEqual(fixture.received, notRun);
    });

    it("gets no answer if its caller has closed the connection", () => {
        const fixture = new RequestFixture();
        fixture.send("SELECT 1");
        fixture.process({ kind: CallerKind.Closed, connectionId: 1 });
        assert.deepEqual(fixture.received, []);
        assert.deepEqual(fixture.outputs.filter(({ kind }) => kind === DeadlineKind.Clear).length, 1);
    });
});
