import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ClusterKind } from "../../model/clusterMessages.ts";
import { type Configuration, emptyConfiguration } from "../../model/configuration.ts";
import { ControlKind, type ControlPropose, ProposalStatus, type SetRateShares } from "../../model/controlMessages.ts";
import { ResourceKind } from "../../model/lease.ts";
import { RateKind } from "../../model/rateMessages.ts";
import type { Message } from "../../pipeline/message.ts";
import { DivideRateFilter } from "../divideRate.ts";
import { apportionUnits, maxMinFairShares } from "../targetShares.ts";

const dataCentres = ["north", "south", "west"];
const limits = { ratePerSecond: 300, burst: 60 };

/** Control state with one workspace, a leader, and permit homes that apply a version only when a step says so. */
class ShareModel {
    readonly history: Configuration[] = [];
    readonly applied = dataCentres.map(() => 0);
    private filter = new DivideRateFilter();
    private term = 0;
    private nowMs = 0;
    private proposals: ControlPropose[] = [];

    constructor() {
        this.history.push({
            ...emptyConfiguration,
            workspaces: [{ name: "shop", ...limits, keyValidityMs: 10_000, version: 1 }],
            leases: dataCentres.map(dataCentre => ({
                resource: ResourceKind.Permits,
                resourceId: `shop@${dataCentre}`,
                instanceId: dataCentre,
                instanceAddress: dataCentre,
                epoch: 1,
            })),
        });
        this.electLeader();
    }

    electLeader(): void {
        this.filter = new DivideRateFilter();
        this.proposals = [];
        this.push({ kind: ClusterKind.ConfigurationApplied, configuration: this.history.at(-1)! } as Message);
        this.push({ kind: ControlKind.LeaderChanged, leading: true, term: ++this.term } as Message);
    }

    tick(): void {
        this.nowMs += 1_000;
        this.push({ kind: RateKind.DivideDue });
    }

    applyLatest(index: number): void {
        this.applied[index] = this.history.length - 1;
    }

    report(index: number, wantedPerSecond: number): void {
        const versionInForce = this.applied[index]!;
        const dataCentre = dataCentres[index]!;
        this.push({ kind: RateKind.Demand, workspace: "shop", dataCentre, wantedPerSecond, versionInForce } as Message);
    }

    /** Applies the oldest proposal; the leader receives its result and the new configuration in either order. */
    commit(resultFirst: boolean): void {
        const proposal = this.proposals.shift();
        if (proposal === undefined) {
            return;
        }
        const version = this.history.length;
        const configuration = {
            ...this.history.at(-1)!,
            version,
            rateShares: (proposal.command as SetRateShares).shares,
        };
        this.history.push(configuration);
        const ended = {
            kind: ControlKind.ProposalEnded,
            proposalId: proposal.proposalId,
            status: ProposalStatus.Applied,
            version: 1,
            configurationVersion: version,
        } as unknown as Message;
        const applied = { kind: ClusterKind.ConfigurationApplied, configuration } as Message;
        if (resultFirst) {
            this.push(ended);
            this.push({ kind: RateKind.DivideDue });
            this.push(applied);
        }
        else {
            this.push(applied);
            this.push(ended);
        }
    }

    /** Sum of the shares that the homes enforce now, each from the version that it has applied. */
    inForce(): { readonly ratePerSecond: number; readonly burst: number; } {
        const shares = dataCentres.map((dataCentre, index) =>
            this.history[this.applied[index]!]!.rateShares.find(share => share.dataCentre === dataCentre)
        );
        return {
            ratePerSecond: shares.reduce((sum, share) => sum + (share?.ratePerSecond ?? 0), 0),
            burst: shares.reduce((sum, share) => sum + (share?.burst ?? 0), 0),
        };
    }

    private push(message: Message): void {
        const outputs = this.filter.process(message as never, this.nowMs);
        this.proposals.push(
            ...outputs.filter((output): output is ControlPropose => output.kind === ControlKind.Propose),
        );
    }
}

const stepArbitrary = fc.record({
    action: fc.oneof(
        { weight: 12, arbitrary: fc.constantFrom("tick", "learn", "report", "report", "commit") },
        { weight: 1, arbitrary: fc.constant("elect") },
    ),
    index: fc.nat(2),
    wantedPerSecond: fc.constantFrom(0, 10, 80, 300, 900),
    resultFirst: fc.boolean(),
});

describe("shares between data centres", () => {
    it("keep the sum of the shares in force within rate and burst for every order of events", () => {
        fc.assert(
            fc.property(fc.array(stepArbitrary, { minLength: 20, maxLength: 200 }), steps => {
                const model = new ShareModel();
                for (const { action, index, wantedPerSecond, resultFirst } of steps) {
                    const actions: Record<string, () => void> = {
                        tick: () => model.tick(),
                        learn: () => model.applyLatest(index),
                        report: () => model.report(index, wantedPerSecond),
                        commit: () => model.commit(resultFirst),
                        elect: () => model.electLeader(),
                    };
                    actions[action]!();
                    const { ratePerSecond, burst } = model.inForce();
                    assert.ok(ratePerSecond <= limits.ratePerSecond + 1e-6, `rate ${ratePerSecond}`);
                    assert.ok(burst <= limits.burst, `burst ${burst}`);
                }
            }),
            { seed: 7, numRuns: 1_000 },
        );
    });

    it("follow demand once reductions are confirmed, and keep the share of an unreachable data centre", () => {
        const model = new ShareModel();
        runRounds(model, [0, 0, 0]);
        const unreachableShare = shareOf(model, "west");
        runRounds(model, [500, 10, undefined]);
        assert.ok(shareOf(model, "north") > 150, `north has ${shareOf(model, "north")}`);
        assert.equal(shareOf(model, "west"), unreachableShare);
    });

    it("are not increased by what an earlier leader took away until the home confirms the reduction", () => {
        const model = new ShareModel();
        runRounds(model, [0, 0, 0]);
        [0, 500, 0].forEach((wantedPerSecond, index) => model.report(index, wantedPerSecond));
        model.tick();
        model.commit(false);
        assert.ok(shareOf(model, "north") < 50, "north's reduction is committed");
        model.electLeader();
        runRounds(model, [undefined, 900, undefined]);
        assert.ok(model.inForce().ratePerSecond <= limits.ratePerSecond, "north still uses its former share");
    });

    it("divide a scarce rate max-min fairly and a burst into whole units, with one each if possible", () => {
        assert.deepEqual(maxMinFairShares(100, [10, 80, 90]), [10, 45, 45]);
        assert.deepEqual(apportionUnits(10, [0.9, 0.1, 0]), [7, 2, 1]);
        assert.deepEqual(apportionUnits(2, [0.2, 0.2, 0.6]).reduce((sum, part) => sum + part), 2);
    });
});

/** Runs rounds with immediate delivery; an undefined demand stands for a partitioned data centre. */
function runRounds(model: ShareModel, demands: readonly (number | undefined)[]): void {
    for (let round = 0; round < 8; round++) {
        demands.forEach((demandPerSecond, index) => {
            if (demandPerSecond !== undefined) {
                model.applyLatest(index);
                model.report(index, demandPerSecond);
            }
        });
        model.tick();
        model.commit(false);
    }
}

function shareOf(model: ShareModel, dataCentre: string): number {
    return model.history.at(-1)!.rateShares.find(share => share.dataCentre === dataCentre)!.ratePerSecond;
}
