import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { emptyControlState } from "../../control/controlState.ts";
import { ClusterKind } from "../../model/clusterMessages.ts";
import { ControlKind } from "../../model/controlMessages.ts";
import { type FleetFrame, FleetKind, type SendFrame } from "../../model/fleetMessages.ts";
import { promotionOf } from "../../model/promotion.ts";
import { PromotionKind } from "../../model/promotionMessages.ts";
import { emptyTrafficPolicy } from "../../model/trafficPolicy.ts";
import { CommitWitnesses } from "../commitWitnesses.ts";
import { Promotions } from "../promotions.ts";

describe("leases on acknowledgements, as a member counts them", () => {
    it("are granted to attached instances that the replicated state names", () => {
        // Guards against a lease of which the next leader doesn't know.
        const witnesses = new CommitWitnesses();
        witnesses.attach("f1", "i1", 0);
        assert.equal(witnesses.grantLease("f1", 0), false);
        witnesses.setRecorded([{ instanceId: "i1" }], 10);
        assert.deepEqual([witnesses.grantLease("f1", 10), witnesses.grantLease("f2", 10)], [true, false]);
    });

    it("may end later than on the clock of the instance, also after it has detached", () => {
        const witnesses = new CommitWitnesses();
        witnesses.attach("f1", "i1", 0);
        witnesses.setRecorded([{ instanceId: "i1" }], 0);
        witnesses.grantLease("f1", 100);
        witnesses.detach("f1", 200);
        assert.deepEqual(witnesses.leases(), [{ attachmentId: "f1", untilMs: 100 + 1_616 }]);
    });

    it("may be those of an earlier leader, which did not know at once that it had lost the lead", () => {
        // Guards against a new leader that chooses while an instance acknowledges by leave of the former one.
        const witnesses = new CommitWitnesses();
        witnesses.attach("f1", "i1", 0);
        witnesses.setRecorded([{ instanceId: "i1" }, { instanceId: "i2" }], 0);
        witnesses.grantLease("f1", 100);
        witnesses.startLeading(1_000);
        assert.deepEqual(witnesses.leases(), [
            { attachmentId: "f1", untilMs: 1_000 + 1_000 + 1_616 },
            { attachmentId: undefined, untilMs: 1_000 + 1_000 + 1_616 },
        ]);
    });
});

describe("leases on acknowledgements, as the control leader grants them", () => {
    /**
     * Answers of a leader that has not looked after a promotion yet which an earlier one began.
     * @param askedAtMs times of the events of this process, at each of which it is asked
     */
    function answersOf(
        { open, leading = true, ledFromMs = 0, ticksAtMs = [], askedAtMs = [0] }: {
            readonly open: boolean;
            readonly leading?: boolean;
            readonly ledFromMs?: number;
            /** Times of its timer before that. */
            readonly ticksAtMs?: readonly number[];
            readonly askedAtMs?: readonly number[];
        },
    ): readonly FleetFrame[] {
        const promotions = new Promotions({ reportIntervalMs: 1_200 });
        const push = (message: object, nowMs = 0): readonly SendFrame[] =>
            promotions.process(message as never, nowMs).filter((output): output is SendFrame =>
                output.kind === FleetKind.SendFrame
            );
        push({
            kind: FleetKind.PolicyApplied,
            policy: {
                ...emptyTrafficPolicy,
                services: new Map([["s", { name: "s", connectionLimit: 4, synchronousReplicas: 1 }]]),
            },
        });
        const configuration = {
            ...emptyControlState.configuration,
            promotions: [{ ...promotionOf([], "s"), fence: 3, open }],
            commitWitnesses: [{ instanceId: "i1" }],
        };
        push({ kind: ClusterKind.ConfigurationApplied, configuration });
        ticksAtMs.forEach(nowMs => push({ kind: PromotionKind.Due }, nowMs));
        push({ kind: ControlKind.LeaderChanged, leading, term: 2 }, ledFromMs);
        const hello = { kind: "hello", instanceId: "i1", serves: true };
        push({ kind: FleetKind.FrameReceived, attachmentId: "f1", frame: hello }, ledFromMs);
        return askedAtMs.flatMap((nowMs, index) => {
            const asked = { kind: "lease_asked", sequence: 5 + index };
            return push({ kind: FleetKind.FrameReceived, attachmentId: "f1", frame: asked }, nowMs);
        }).map(({ frame }) => frame);
    }

    it("last for the usual duration", () => {
        assert.deepEqual(answersOf({ open: false }), [{ kind: "lease_granted", sequence: 5, validMs: 1_600 }]);
    });

    it("are not given by a member that doesn't lead", () => {
        assert.deepEqual(answersOf({ open: false, leading: false }), []);
    });

    it("are not given while an order of an earlier leader may be executed", () => {
        // Guards against acknowledgements by an instance that the new leader has not asked yet.
        assert.deepEqual(answersOf({ open: true }), []);
    });

    it("are not given by a process that stood still, before it knows whether it leads still", () => {
        // Guards against a lease of which a leader doesn't know that was elected meanwhile.
        const sequencesAt = (askedAtMs: readonly number[]): readonly number[] =>
            answersOf({ open: false, askedAtMs }).map(frame => frame.kind === "lease_granted" ? frame.sequence : 0);
        assert.deepEqual(sequencesAt([400, 1_400, 2_400]), [5, 6, 7]);
        assert.deepEqual(sequencesAt([400, 5_400, 5_800, 6_200, 6_600, 6_700]), [5, 10]);
    });

    it("are not given by a process that stood still before it took the lead, before it knows whether it leads still", () => {
        // Guards against a lease of a member whose election was confirmed by answers from before its pause.
        const ledFromMs = 5_400;
        const askedAtMs = [5_400, 6_200, 6_700];
        const sequences = answersOf({ open: false, ledFromMs, ticksAtMs: [400], askedAtMs })
            .map(frame => frame.kind === "lease_granted" ? frame.sequence : 0);
        assert.deepEqual(sequences, [7]);
    });

    it("are given at once by a new leader that went on before", () => {
        const ticksAtMs = [400, 800, 1_200, 1_600, 2_000];
        assert.equal(answersOf({ open: false, ledFromMs: 2_300, ticksAtMs, askedAtMs: [2_300] }).length, 1);
    });
});
