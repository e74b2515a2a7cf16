import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ServingInstances } from "../servingInstances.ts";

const front = { instanceId: "front0", address: "10.0.0.1:9000", dataCentre: "ostend" };

describe("instances that serve callers", () => {
    it("lists for a new follower only instances whose departure will be announced", () => {
        // Guards against a peer that stays listed because it left before it was announced.
        const instances = new ServingInstances();
        instances.add("in0", front);
        assert.deepEqual(instances.announcedListFrame(), { kind: "instances", instances: [] });
        instances.remove("in0");
        assert.equal(instances.hasChanges, false);
    });

    it("keeps an instance whose earlier attachment ends after the new one began", () => {
        const instances = new ServingInstances();
        instances.add("in0", front);
        assert.deepEqual(instances.takeChanges(), { kind: "instances_changed", joined: [front], left: [] });
        instances.add("in1", front);
        instances.remove("in0");
        assert.equal(instances.count, 1);
        assert.equal(instances.hasChanges, false);
        instances.remove("in1");
        assert.deepEqual(instances.takeChanges(), { kind: "instances_changed", joined: [], left: ["front0"] });
    });

    it("announces the new address of an instance that came back with another one", () => {
        const instances = new ServingInstances();
        instances.add("in0", front);
        instances.takeChanges();
        instances.remove("in0");
        const moved = { ...front, address: "10.0.0.2:9000" };
        instances.add("in1", moved);
        assert.deepEqual(instances.takeChanges(), { kind: "instances_changed", joined: [moved], left: [] });
        assert.deepEqual(instances.announcedListFrame(), { kind: "instances", instances: [moved] });
    });

    it("reuses the list frame for all followers until the next announcement", () => {
        const instances = new ServingInstances();
        instances.add("in0", front);
        instances.takeChanges();
        const frame = instances.announcedListFrame();
        assert.equal(instances.announcedListFrame(), frame);
        instances.remove("in0");
        assert.equal(instances.announcedListFrame(), frame);
        instances.takeChanges();
        assert.deepEqual(instances.announcedListFrame(), { kind: "instances", instances: [] });
    });
});
