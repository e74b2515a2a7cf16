import type { Server } from "@grpc/grpc-js";
import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import {
    endExplanation,
    type ExplanationAsked,
    ExplanationKind,
    type ExplanationRequest,
    type Finding,
    Verdict,
} from "../../model/explanation.ts";
import { ExplanationClient } from "../explanationClient.ts";
import { ExplanationService } from "../explanationService.ts";
import type { ExplainResponse } from "../generated/explanations.ts";
import { UnreachableError } from "../operatorClient.ts";
import { PeerAuthentication } from "../peerAuthentication.ts";
import { createPeerServer, listen } from "../peerChannel.ts";
import { PeerClientFactory } from "../peerClientFactory.ts";

const maximumPending = 64;
const request: ExplanationRequest = { database: "orders", workspace: "w", writes: true };
const finding: Finding = {
    step: "routing",
    subject: "größe\n",
    verdict: Verdict.PassedOver,
    reason: "a higher cost",
    facts: { cost_ms: 12.5, role: "replica" },
};

function authenticationWith(secret: string): PeerAuthentication {
    return new PeerAuthentication({ cluster: "c", instanceId: "operator", secret });
}

describe("questions where a statement would go", () => {
    let server: Server;
    let address: string;
    let service: ExplanationService;
    /** Questions that the instance has received. */
    let asked: ExplanationAsked[];
    let answersAtOnce: boolean;

    beforeEach(async () => {
        asked = [];
        answersAtOnce = true;
        server = createPeerServer(authenticationWith("the cluster secret"));
        service = new ExplanationService({
            instanceId: "front1",
            answerLimitMs: 150,
            post: message => {
                asked.push(message as ExplanationAsked);
                if (answersAtOnce) {
                    service.deliver(endExplanation(message as ExplanationAsked, [finding]));
                }
            },
        });
        service.register(server);
        address = `127.0.0.1:${await listen(server, "127.0.0.1:0")}`;
    });

    afterEach(() => server.forceShutdown());

    async function ask(timeoutMs = 5_000, secret = "the cluster secret"): Promise<ExplainResponse> {
        const clientFactory = new PeerClientFactory({ authentication: authenticationWith(secret) });
        await using client = new ExplanationClient({ server: address, clientFactory, timeoutMs });
        return await client.explain(request);
    }

    it("reach the instance as they were asked, and are answered with the findings", async () => {
        assert.deepEqual(await ask(), {
            instanceId: "front1",
            findings: [{ ...finding, facts: { cost_ms: "12.5", role: "replica" } }],
        });
        assert.deepEqual(asked, [{
            kind: ExplanationKind.Asked,
            requestId: asked[0]!.requestId,
            request,
            route: undefined,
            placement: undefined,
            findings: [],
        }]);
    });

    it("fail if the instance does not answer in time, and a late answer disturbs nothing", async () => {
        answersAtOnce = false;
        await assert.rejects(
            ask(),
            (error: Error) =>
                error instanceof UnreachableError && error.message === `${address}: the instance has too much to do`,
        );
        service.deliver(endExplanation(asked[0]!, [finding]));
        answersAtOnce = true;
        assert.equal((await ask()).instanceId, "front1");
    });

    it("fail at the time limit of the one who asks", async () => {
        answersAtOnce = false;
        await assert.rejects(ask(40), UnreachableError);
    });

    it("are refused beyond a number that wait, and taken again once those have failed", async () => {
        answersAtOnce = false;
        const outcomes = await Promise.all(
            Array.from(
                { length: maximumPending + 3 },
                () => ask().then(() => "answered", (error: Error) => error.message.slice(address.length + 2)),
            ),
        );
        const count = (text: string): number => outcomes.filter(outcome => outcome === text).length;
        assert.equal(asked.length, maximumPending);
        assert.equal(count("the instance has too much to do"), maximumPending);
        assert.equal(count(`${maximumPending} questions wait; ask again`), 3);
        answersAtOnce = true;
        assert.equal((await ask()).findings.length, 1);
    });

    it("need the secret of the cluster", async () => {
        await assert.rejects(ask(5_000, "the secret of another cluster"), UnreachableError);
        assert.deepEqual(asked, []);
    });
});
