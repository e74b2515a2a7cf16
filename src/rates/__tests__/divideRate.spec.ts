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
const total = { ratePerSecond: 300, burst: 60 };

/** The control state with one workspace, a leader, and homes that learn of versions whenever a step says so. */
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
            workspaces: [{ name: "shop", ...total, keyValidityMs: 10_000, version: 1 }],
            leases: dataCentres.map(dataCentre => ({
                resource: ResourceKind.Permits,
                resourceId: `shop@${dataCentre}`,
                instanceId: dataCentre,
                instanceAddress: dataCentre,
                epoch: 1,
            })),
        });
        this.elect();
    }

    elect(): void {
        this.filter = new DivideRateFilter();
        this.proposals = [];
        this.push({ kind: ClusterKind.ConfigurationApplied, configuration: this.history.at(-1)! } as Message);
        this.push({ kind: ControlKind.LeaderChanged, leading: true, term: ++this.term } as Message);
    }

    tick(): void {
        this.nowMs += 1_000;
        this.push({ kind: RateKind.DivideDue });
    }

    learn(index: number): void {
        this.applied[index] = this.history.length - 1;
    }

    report(index: number, wantedPerSecond: number): void {
        const versionInForce = this.applied[index]!;
        const dataCentre = dataCentres[index]!;
        this.push({ kind: RateKind.Demand, workspace: "shop", dataCentre, wantedPerSecond, versionInForce } as Message);
    }

    /** Applies the oldest proposal; its result and its configuration arrive in either order. */
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

    /** Sum of what the homes enforce now, each by the version that it knows. */
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

const step = fc.record({
    action: fc.oneof(
        { weight: 12, arbitrary: fc.constantFrom("tick", "learn", "report", "report", "commit") },
        { weight: 1, arbitrary: fc.constant("elect") },
    ),
    index: fc.nat(2),
    wanted: fc.constantFrom(0, 10, 80, 300, 900),
    resultFirst: fc.boolean(),
});

describe("shares between data centres", () => {
    it("keep the sum in force within rate and burst in every order of events", () => {
        fc.assert(
            fc.property(fc.array(step, { minLength: 20, maxLength: 200 }), steps => {
                const model = new ShareModel();
                for (const { action, index, wanted, resultFirst } of steps) {
                    const actions: Record<string, () => void> = {
                        tick: () => model.tick(),
                        learn: () => model.learn(index),
                        report: () => model.report(index, wanted),
                        commit: () => model.commit(resultFirst),
                        elect: () => model.elect(),
                    };
                    actions[action]!();
                    const { ratePerSecond, burst } = model.inForce();
                    assert.ok(ratePerSecond <= total.ratePerSecond + 1e-6, `rate ${ratePerSecond}`);
                    assert.ok(burst <= total.burst, `burst ${burst}`);
                }
            }),
            { seed: 7, numRuns: 1_000 },
        );
    });

    it("follow demand once reductions are confirmed, and leave a silent data centre its share", () => {
        const model = new ShareModel();
        play(model, [0, 0, 0]);
        const silentShare = shareOf(model, "west");
        play(model, [500, 10, undefined]);
        assert.ok(shareOf(model, "north") > 150, `north has ${shareOf(model, "north")}`);
        assert.equal(shareOf(model, "west"), silentShare);
    });

    it("give out nothing that an earlier leader took away before its home confirmed the reduction", () => {
        const model = new ShareModel();
        play(model, [0, 0, 0]);
        [0, 500, 0].forEach((wanted, index) => model.report(index, wanted));
        model.tick();
        model.commit(false);
        assert.ok(shareOf(model, "north") < 50, "north's reduction is agreed");
        model.elect();
        play(model, [undefined, 900, undefined]);
        assert.ok(model.inForce().ratePerSecond <= total.ratePerSecond, "north still spends its former share");
    });

    it("divide a short supply max-min fairly and a burst into whole units that lock nobody out", () => {
        assert.deepEqual(maxMinFairShares(100, [10, 80, 90]), [10, 45, 45]);
        assert.deepEqual(apportionUnits(10, [0.9, 0.1, 0]), [7, 2, 1]);
        assert.deepEqual(apportionUnits(2, [0.2, 0.2, 0.6]).reduce((sum, part) => sum + part), 2);
    });
});

/** Rounds in which all is delivered at once; undefined stands for a data centre that is cut off. */
function play(model: ShareModel, wanted: readonly (number | undefined)[]): void {
    for (let round = 0; round < 8; round++) {
        wanted.forEach((wantedHere, index) => {
            if (wantedHere !== undefined) {
                model.learn(index);
                model.report(index, wantedHere);
            }
        });
        model.tick();
        model.commit(false);
    }
}

function shareOf(model: ShareModel, dataCentre: string): number {
    return model.history.at(-1)!.rateShares.find(share => share.dataCentre === dataCentre)!.ratePerSecond;
}
