import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ControlKind } from "../../model/controlMessages.ts";
import { type DiscoveryProgressed, type FleetFrame, FleetKind, type MembersKnown } from "../../model/fleetMessages.ts";
import { type PeerAnswer, PeerKind, type PeerResult, type PeerSend } from "../../model/peerMessages.ts";
import { DeadlineKind } from "../../pipeline/deadlineQueue.ts";
import type { Message } from "../../pipeline/message.ts";
import { SeededRandom } from "../../pipeline/seededRandom.ts";
import { MemberDiscovery } from "../memberDiscovery.ts";

/** The filter and the last list that it published. */
class DiscoveryFixture {
    members: readonly string[] = [];
    readonly asked: string[] = [];
    readonly results: PeerResult[] = [];
    readonly progress: DiscoveryProgressed[] = [];
    hasTimer = false;
    private readonly discovery: MemberDiscovery;
    private nowMs = 0;

    constructor(isMember = false) {
        this.discovery = new MemberDiscovery({ address: "front0:1", isMember, random: new SeededRandom(1) });
    }

    push(message: Message): void {
        for (const output of this.discovery.process(message as never, this.nowMs)) {
            switch (output.kind) {
                case FleetKind.MembersKnown:
                    this.members = (output as MembersKnown).addresses;
                    break;
                case PeerKind.Send:
                    this.asked.push((output as PeerSend).address);
                    break;
                case PeerKind.Answer:
                    this.results.push((output as PeerAnswer).result);
                    break;
                case FleetKind.DiscoveryProgressed:
                    this.progress.push(output as DiscoveryProgressed);
                    break;
                case DeadlineKind.Set:
                    this.hasTimer = true;
                    break;
            }
        }
    }

    /** Lets the search make a step each second. */
    advance(seconds: number): void {
        for (let second = 0; second < seconds; second++) {
            this.nowMs += 1_000;
            this.hasTimer = false;
            this.push({ kind: FleetKind.DiscoveryDue });
        }
    }

    setSeeds(...addresses: readonly string[]): void {
        const seeds = addresses.map(address => ({ memberId: address, address }));
        this.push({ kind: ControlKind.SeedsChanged, seeds } as Message);
    }

    receiveStatus(attachmentId: string, leading: boolean, term: number, members: readonly string[]): void {
        const rest = { instanceId: attachmentId, configurationVersion: 1, instanceCount: 1 };
        const frame: FleetFrame = { kind: "status", leading, term, members, ...rest };
        this.push({ kind: FleetKind.FrameReceived, attachmentId, frame } as Message);
    }

    detach(...attachmentIds: readonly string[]): void {
        attachmentIds.forEach(attachmentId => this.push({ kind: FleetKind.Detached, attachmentId } as Message));
    }

    knowInstances(...addresses: readonly string[]): void {
        const instances = addresses.map(address => ({ instanceId: address, address, dataCentre: "dc" }));
        this.push({ kind: PeerKind.InstancesKnown, instances } as Message);
    }

    answerMembers(address: string, addresses: readonly string[]): void {
        const result: PeerResult = { kind: "members", questionId: "m0", addresses };
        this.push({ kind: PeerKind.Answered, address, result } as Message);
    }
}

describe("discovery of the control members", () => {
    const first = ["core1:1", "core2:1", "core3:1"];
    const later = ["core5:1", "core6:1", "core7:1"];

    it("goes on with the seeds of the settings as they are now after all known members are gone", () => {
        // Guards against a process that never finds the members again, because it knows only those that have left.
        const fixture = new DiscoveryFixture();
        fixture.setSeeds(...first);
        fixture.receiveStatus("a", true, 1, first);
        fixture.setSeeds(...later);
        assert.deepEqual(fixture.members, first, "the leader's list goes before the seeds");
        fixture.detach("a");
        assert.deepEqual(fixture.members, [...first, ...later]);
        fixture.advance(60);
        assert.equal(fixture.hasTimer, true, "the search has ended without a leader");
        fixture.setSeeds("core8:1");
        assert.deepEqual(fixture.members, [...first, "core8:1"]);
        fixture.receiveStatus("b", true, 4, ["core8:1", "core9:1"]);
        assert.deepEqual(fixture.members, ["core8:1", "core9:1"]);
    });

    it("asks more and more other instances, and tries the members that a leader listed to them", () => {
        // Guards against an instance that stood still while members and their seeds in its settings were replaced.
        const fixture = new DiscoveryFixture();
        fixture.setSeeds(...first);
        fixture.receiveStatus("a", true, 1, first);
        fixture.knowInstances("front0:1", ...Array.from({ length: 30 }, (_, index) => `front${index + 1}:1`));
        fixture.advance(5);
        assert.equal(fixture.asked.length, 0, "instances are asked only without a leader");
        fixture.detach("a");
        const counts = [1, 2, 3, 4, 5].map(() => {
            const before = fixture.asked.length;
            fixture.advance(1);
            return fixture.asked.length - before;
        });
        assert.deepEqual(counts, [1, 2, 4, 8, 8]);
        assert.ok(!fixture.asked.includes("front0:1"), "the instance asked itself");
        fixture.answerMembers("front3:1", later);
        assert.deepEqual(fixture.members, [...first, ...later]);
        assert.deepEqual(fixture.progress.at(-1)!.searchedForMs, 5_000);
    });

    it("passes on the list of a leader only", () => {
        // Guards against instances without a leader that keep the addresses of departed members alive among themselves.
        const fixture = new DiscoveryFixture();
        const question = { kind: "members", questionId: "m7" } as const;
        fixture.setSeeds(...first);
        fixture.push({ kind: PeerKind.Asked, streamId: "w1", question } as Message);
        fixture.receiveStatus("a", true, 1, later);
        fixture.push({ kind: PeerKind.Asked, streamId: "w1", question } as Message);
        assert.deepEqual(fixture.results, [
            { kind: "members", questionId: "m7", addresses: [] },
            { kind: "members", questionId: "m7", addresses: later },
        ]);
    });

    it("keeps to the members of an election for a second before it searches further", () => {
        const fixture = new DiscoveryFixture();
        fixture.setSeeds("core0:1");
        fixture.receiveStatus("a", true, 1, first);
        fixture.receiveStatus("b", false, 1, first);
        fixture.receiveStatus("a", false, 2, first);
        assert.deepEqual(fixture.members, first);
        fixture.advance(1);
        assert.deepEqual(fixture.members, [...first, "core0:1"]);
    });

    it("of a control member keeps to the replicated list, whatever a removed member lists", () => {
        // Guards against a member that leaves the attachments of its cluster for those of a member that was removed.
        const fixture = new DiscoveryFixture(true);
        fixture.setSeeds(...first);
        fixture.push({ kind: ControlKind.MembersAgreed, addresses: later } as Message);
        fixture.push({ kind: ControlKind.LeaderChanged, leading: false, term: 3, leaderId: "core5" } as Message);
        assert.deepEqual(fixture.members, later);
        fixture.receiveStatus("a", false, 1, first);
        assert.deepEqual(fixture.members, later);
        fixture.push({ kind: ControlKind.LeaderChanged, leading: false, term: 4 } as Message);
        fixture.advance(1);
        assert.deepEqual(fixture.members, [...later, ...first]);
    });
});
