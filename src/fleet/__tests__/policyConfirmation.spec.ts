import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ClusterKind } from "../../model/clusterMessages.ts";
import { type FleetFrame, FleetKind, type PolicyApplied } from "../../model/fleetMessages.ts";
import { emptyTrafficPolicy } from "../../model/trafficPolicy.ts";
import type { Message } from "../../pipeline/message.ts";
import { Pipe } from "../../pipeline/pipe.ts";
import { PolicyConfirmation } from "../policyConfirmation.ts";

/** The filter in a pipe. As in a proxy, a policy has the version of its configuration. */
class ConfirmationFixture {
    private readonly pipe = new Pipe("fleet", [new PolicyConfirmation()]);

    /** Returns the versions of the emitted policies, marked if unconfirmed. */
    push(message: Message): readonly string[] {
        return this.pipe.process(message, 0).filter(isPolicy).map(({ policy, confirmed }) =>
            `${policy.version}${confirmed ? "" : " unconfirmed"}`
        );
    }

    applyPolicy(version: number): readonly string[] {
        this.push({ kind: ClusterKind.ConfigurationApplied, configuration: { version } } as unknown as Message);
        const policy = { ...emptyTrafficPolicy, version };
        return this.push(
            {
                kind: FleetKind.PolicyApplied,
                policy,
                confirmed: false,
                promoted: new Map(),
                ordered: new Map(),
            } as Message,
        );
    }

    receiveFrame(attachmentId: string, frame: FleetFrame): readonly string[] {
        return this.push({ kind: FleetKind.FrameReceived, attachmentId, frame } as Message);
    }

    receiveStatus(
        attachmentId: string,
        leading: boolean,
        term: number,
        configurationVersion: number,
    ): readonly string[] {
        const rest = { instanceId: attachmentId, members: [], instanceCount: 0 };
        return this.receiveFrame(attachmentId, { kind: "status", leading, term, configurationVersion, ...rest });
    }
}

function isPolicy(message: Message): message is PolicyApplied {
    return message.kind === FleetKind.PolicyApplied;
}

describe("confirmation of the first policy", () => {
    it("happens at the version that the leader reported first, even while changes keep arriving", () => {
        // Guards against a first policy that never catches up with a leader whose version keeps increasing.
        const confirmation = new ConfirmationFixture();
        assert.deepEqual(confirmation.receiveStatus("a", true, 3, 10), []);
        assert.deepEqual(confirmation.applyPolicy(9), []);
        assert.deepEqual(confirmation.receiveFrame("a", { kind: "configuration", version: 12 }), []);
        assert.deepEqual(confirmation.receiveStatus("a", true, 3, 13), []);
        assert.deepEqual(confirmation.applyPolicy(10), ["10"]);
        assert.deepEqual(confirmation.applyPolicy(11), ["11"]);
    });

    it("does not come from a follower or from the leader of an earlier term", () => {
        const confirmation = new ConfirmationFixture();
        assert.deepEqual(confirmation.applyPolicy(5), []);
        assert.deepEqual(confirmation.receiveStatus("a", false, 3, 5), []);
        assert.deepEqual(confirmation.receiveStatus("b", true, 4, 9), []);
        assert.deepEqual(confirmation.receiveStatus("a", true, 3, 5), []);
        assert.deepEqual(confirmation.applyPolicy(9), ["9"]);
    });

    it("times out: the latest policy takes effect unconfirmed and is confirmed later", () => {
        const confirmation = new ConfirmationFixture();
        assert.deepEqual(confirmation.applyPolicy(5), []);
        assert.deepEqual(confirmation.applyPolicy(6), []);
        assert.deepEqual(confirmation.push({ kind: FleetKind.ConfirmationDue }), ["6 unconfirmed"]);
        assert.deepEqual(confirmation.applyPolicy(7), ["7 unconfirmed"]);
        assert.deepEqual(confirmation.receiveStatus("a", true, 3, 7), ["7"]);
    });
});
