import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ClusterKind } from "../../model/clusterMessages.ts";
import { type FleetFrame, FleetKind, type PolicyApplied } from "../../model/fleetMessages.ts";
import { emptyTrafficPolicy } from "../../model/trafficPolicy.ts";
import type { Message } from "../../pipeline/message.ts";
import { Pipe } from "../../pipeline/pipe.ts";
import { PolicyConfirmation } from "../policyConfirmation.ts";

/** The filter in a pipe, fed as a proxy feeds it: policies have the number of their configuration. */
class Confirmation {
    private readonly pipe = new Pipe("fleet", [new PolicyConfirmation()]);

    /** Policies that this leads to, with whether they are confirmed. */
    push(message: Message): readonly string[] {
        return this.pipe.process(message, 0).filter(isPolicy).map(({ policy, confirmed }) =>
            `${policy.version}${confirmed ? "" : " unconfirmed"}`
        );
    }

    apply(version: number): readonly string[] {
        this.push({ kind: ClusterKind.ConfigurationApplied, configuration: { version } } as unknown as Message);
        const policy = { ...emptyTrafficPolicy, version };
        return this.push({ kind: FleetKind.PolicyApplied, policy, confirmed: false, promoted: new Map() } as Message);
    }

    frame(attachmentId: string, frame: FleetFrame): readonly string[] {
        return this.push({ kind: FleetKind.FrameReceived, attachmentId, frame } as Message);
    }

    status(attachmentId: string, leading: boolean, term: number, configurationVersion: number): readonly string[] {
        const rest = { instanceId: attachmentId, members: [], instanceCount: 0 };
        return this.frame(attachmentId, { kind: "status", leading, term, configurationVersion, ...rest });
    }
}

function isPolicy(message: Message): message is PolicyApplied {
    return message.kind === FleetKind.PolicyApplied;
}

describe("confirmation of the first policy", () => {
    it("comes in a storm of changes too, once the version is reached that the leader named first", () => {
        // Guards against a first policy that runs after a leader whose version rises with every change.
        const confirmation = new Confirmation();
        assert.deepEqual(confirmation.status("a", true, 3, 10), []);
        assert.deepEqual(confirmation.apply(9), []);
        assert.deepEqual(confirmation.frame("a", { kind: "configuration", version: 12 }), []);
        assert.deepEqual(confirmation.status("a", true, 3, 13), []);
        assert.deepEqual(confirmation.apply(10), ["10"]);
        assert.deepEqual(confirmation.apply(11), ["11"]);
    });

    it("is not given by a member that does not lead, or led an earlier term", () => {
        const confirmation = new Confirmation();
        assert.deepEqual(confirmation.apply(5), []);
        assert.deepEqual(confirmation.status("a", false, 3, 5), []);
        assert.deepEqual(confirmation.status("b", true, 4, 9), []);
        assert.deepEqual(confirmation.status("a", true, 3, 5), []);
        assert.deepEqual(confirmation.apply(9), ["9"]);
    });

    it("is not waited for in vain: the latest policy is used after a while, and confirmed later", () => {
        const confirmation = new Confirmation();
        assert.deepEqual(confirmation.apply(5), []);
        assert.deepEqual(confirmation.apply(6), []);
        assert.deepEqual(confirmation.push({ kind: FleetKind.ConfirmationDue }), ["6 unconfirmed"]);
        assert.deepEqual(confirmation.apply(7), ["7 unconfirmed"]);
        assert.deepEqual(confirmation.status("a", true, 3, 7), ["7"]);
    });
});
