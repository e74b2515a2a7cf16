import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ClusterKind, type ConfigurationApplied } from "../../model/clusterMessages.ts";
import { CommandKind } from "../../model/controlMessages.ts";
import { type ConfigurationUpdate, FeedKind, type FeedSend, UpdateKind } from "../../model/feedMessages.ts";
import type { Message } from "../../pipeline/message.ts";
import { applyCommand } from "../applyCommand.ts";
import { diffConfigurations } from "../configurationDelta.ts";
import { emptyControlState } from "../controlState.ts";
import { type ConfigurationChanged, MemberKind } from "../memberMessages.ts";
import { PublicationFilter } from "../publicationFilter.ts";
import { SubscriptionFilter } from "../subscriptionFilter.ts";

const address = "m0:1";

/** States after 0 to 20 changes. */
const states = [emptyControlState];
for (let index = 1; index <= 20; index++) {
    const workspace = { name: `w${index % 5}`, ratePerSecond: index, burst: 1, keyValidityMs: 1 };
    const expectedVersion = Math.floor((index - 1) / 5);
    const command = { kind: CommandKind.SetWorkspace, expectedVersion, workspace };
    states.push(applyCommand(states.at(-1)!, index, "", command).state);
}
const configurations = states.map(state => state.configuration);

describe("configuration feed", () => {
    it("keeps a follower at its version when an older member sends a snapshot or a delta", () => {
        const follower = new SubscriptionFilter();
        const snapshotOf = (version: number): ConfigurationUpdate => ({
            kind: UpdateKind.Snapshot,
            configuration: configurations[version]!,
        });
        const updates = [snapshotOf(9), snapshotOf(8), diffConfigurations(configurations[7]!, configurations[8]!)];
        const outputs = updates.flatMap(update => follower.process({ kind: FeedKind.Received, address, update }));
        assert.deepEqual(outputs, [{ kind: ClusterKind.ConfigurationApplied, configuration: configurations[9] }]);
    });

    it("sends no snapshot to a subscriber whose version it still knows", () => {
        const member = new PublicationFilter();
        for (const configuration of configurations.slice(1)) {
            member.process({ kind: MemberKind.ConfigurationChanged, configuration } as ConfigurationChanged);
        }
        const sent = [19, 18, 1].map(version => {
            const outputs = member.process({ kind: FeedKind.Subscribe, streamId: `s${version}`, version });
            return (outputs[0] as FeedSend).update;
        });
        assert.deepEqual(
            sent,
            [19, 18, 1].map(version => diffConfigurations(configurations[version]!, configurations[20]!)),
        );
    });

    // A lost update must be noticed, an older member must not revert a follower, and a follower must end equal.
    it("brings a follower to the published configuration over lost updates and changes of member", () => {
        const step = fc.constantFrom("publish", "publish", "lag", "lose", "switch");
        fc.assert(
            fc.property(fc.array(step, { maxLength: 60 }), steps => {
                const follower = new SubscriptionFilter();
                const members = [new PublicationFilter(), new PublicationFilter()];
                const published = [0, 0];
                let attached = 0;
                let version = 0;
                const receive = (outputs: readonly Message[], lost: boolean): void => {
                    for (const { update } of outputs.filter(({ kind }) => kind === FeedKind.Send) as FeedSend[]) {
                        const results = lost ? [] : follower.process({ kind: FeedKind.Received, address, update });
                        for (const result of results) {
                            if (result.kind === ClusterKind.ConfigurationApplied) {
                                const { configuration } = result as ConfigurationApplied;
                                assert.ok(configuration.version > version, "version fell");
                                assert.deepEqual(configuration, configurations[configuration.version]);
                                version = configuration.version;
                            }
                            else {
                                subscribe();
                            }
                        }
                    }
                };
                const subscribe = () =>
                    receive(members[attached]!.process({ kind: FeedKind.Subscribe, streamId: "s", version }), false);
                const publish = (member: number, lost: boolean) => {
                    published[member] = Math.min(published[member]! + 1, 20);
                    const configuration = configurations[published[member]!]!;
                    const outputs = members[member]!.process({ kind: MemberKind.ConfigurationChanged, configuration });
                    receive(member === attached ? outputs : [], lost);
                };
                subscribe();
                for (const one of steps) {
                    if (one === "switch") {
                        members[attached]!.process({ kind: FeedKind.Unsubscribe, streamId: "s" });
                        attached = 1 - attached;
                        subscribe();
                    }
                    else {
                        publish(one === "lag" ? 1 : 0, one === "lose");
                    }
                }
                for (let index = 0; index < 20; index++) {
                    publish(0, false);
                    publish(1, false);
                }
                subscribe();
                assert.equal(version, 20);
            }),
            { seed: 20_261_204, numRuns: 500 },
        );
    });
});
