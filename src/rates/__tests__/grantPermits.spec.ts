import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ClusterKind } from "../../model/clusterMessages.ts";
import { emptyConfiguration } from "../../model/configuration.ts";
import { type LeaseAssignment, ResourceKind } from "../../model/lease.ts";
import { type PermitGranted, PermitKind, type PermitReply } from "../../model/permitMessages.ts";
import { RateKind, type RatesDemandMeasured } from "../../model/rateMessages.ts";
import type { Message } from "../../pipeline/message.ts";
import { GrantPermitsFilter } from "../grantPermits.ts";
import { homeDemandTimeConstantMs } from "../permitHome.ts";

const leaseAssignment: LeaseAssignment = {
    resource: ResourceKind.Permits,
    resourceId: "shop@north",
    instanceId: "a",
    instanceAddress: "a:1",
    epoch: 1,
};
const validUntilMs = 100_000;

class TestHome {
    private readonly filter = new GrantPermitsFilter({ dataCentre: "north", refillFraction: 1 });
    private nextId = 0;
    /** Request id of the last grant of each instance, which uses its permits at once. */
    private readonly lastGrantIds = new Map<string, string>();

    constructor(epochInConfiguration = leaseAssignment.epoch) {
        this.push(0, {
            kind: ClusterKind.ConfigurationApplied,
            configuration: {
                ...emptyConfiguration,
                version: 9,
                workspaces: [{ name: "shop", ratePerSecond: 100, burst: 10, keyValidityMs: 10_000, version: 1 }],
                leases: [{ ...leaseAssignment, epoch: epochInConfiguration }],
                rateShares: [{ workspace: "shop", dataCentre: "north", ratePerSecond: 100, burst: 10 }],
            },
        });
    }

    push(nowMs: number, message: Message & Record<string, unknown>): readonly Message[] {
        return this.filter.process(message as never, nowMs);
    }

    renew(nowMs: number, version = 9): void {
        this.push(nowMs, {
            kind: ClusterKind.LeasesRenewed,
            leases: [leaseAssignment],
            validUntilMs: 0,
            permitsUntilMs: validUntilMs,
        });
        this.push(nowMs, { kind: ClusterKind.ConfigurationProved, version, provedAtMs: nowMs });
    }

    request(nowMs: number, wanted: number, instanceId = "a", origin = ""): PermitGranted | PermitReply {
        const requestId = `${this.nextId++}`;
        const settledRequestId = this.lastGrantIds.get(instanceId) ?? "";
        const body = {
            requestId,
            instanceId,
            workspace: "shop",
            wanted,
            returned: 0,
            settledRequestId,
            held: 0,
            sentMs: nowMs,
        };
        const [answer] = this.push(nowMs, { kind: PermitKind.Request, origin, ...body });
        const { granted } = answer as PermitGranted | PermitReply;
        this.lastGrantIds.set(instanceId, granted > 0 ? requestId : settledRequestId);
        return answer as PermitGranted | PermitReply;
    }
}

describe("permit home", () => {
    it("starts empty, so that a takeover does not allow a second burst", () => {
        const home = new TestHome();
        home.renew(0);
        assert.equal(home.request(219, 5).granted, 0);
        assert.equal(home.request(250, 5).granted, 3);
    });

    it("grants nothing after its lease expired, before its configuration is proved, or for another epoch", () => {
        const expired = new TestHome();
        expired.renew(0);
        assert.equal(expired.request(validUntilMs - 1, 1).granted, 1);
        assert.equal(expired.request(validUntilMs, 1).answered, false);
        const unproved = new TestHome();
        unproved.renew(0, 10);
        assert.equal(unproved.request(5_000, 1).answered, false);
        const otherEpoch = new TestHome(2);
        otherEpoch.renew(0);
        assert.equal(otherEpoch.request(5_000, 1).answered, false);
    });

    it("sets no timer in the past for a home whose lease expired while its start was pending", () => {
        // Guards against a busy loop in which the timer of the pending start was due again at once, without end.
        const home = new TestHome(4);
        const later = [{ ...leaseAssignment, epoch: 4 }];
        home.push(0, { kind: ClusterKind.LeasesRenewed, leases: later, validUntilMs: 0, permitsUntilMs: 5_000 });
        home.push(0, { kind: ClusterKind.ConfigurationProved, version: 9, provedAtMs: 0 });
        assert.deepEqual(home.push(20_000, { kind: RateKind.TakeoverDue }), []);
    });

    it("answers a request of another instance with its origin, and reports demand with the version in force", () => {
        const home = new TestHome();
        home.renew(0);
        assert.deepEqual(home.request(1_000, 2, "b", "call7"), {
            kind: PermitKind.Reply,
            origin: "call7",
            requestId: "0",
            workspace: "shop",
            granted: 2,
            retryAfterMs: 0,
            answered: true,
        });
        const [measured] = home.push(1_000, { kind: RateKind.MeasureDue });
        const [demand] = (measured as RatesDemandMeasured).demands;
        assert.deepEqual({ ...demand, wantedPerSecond: 0 }, {
            workspace: "shop",
            dataCentre: "north",
            wantedPerSecond: 0,
            versionInForce: 9,
        });
        // Two permits in the first second, smoothed with the time constant of the demand.
        assert.ok(Math.abs(demand!.wantedPerSecond - 2 * (1 - Math.exp(-1_000 / homeDemandTimeConstantMs))) < 1e-9);
    });

    it("shares scarce permits equally, also with an instance that sends ten times as many requests", () => {
        const home = new TestHome();
        home.renew(0);
        const granted = new Map([["often", 0], ["seldom", 0]]);
        for (let nowMs = 1_000; nowMs < 11_000; nowMs += 10) {
            const requesters = nowMs % 100 === 0 ? ["often", "seldom"] : ["often"];
            for (const instanceId of requesters) {
                granted.set(instanceId, granted.get(instanceId)! + home.request(nowMs, 200, instanceId).granted);
            }
        }
        const [frequent, infrequent] = [granted.get("often")!, granted.get("seldom")!];
        assert.ok(frequent + infrequent > 900, `${frequent} + ${infrequent}`);
        assert.ok(
            Math.abs(frequent - infrequent) < 0.25 * (frequent + infrequent),
            `${frequent} against ${infrequent}`,
        );
    });
});
