/** Frames of attachments on the wire. */
import { match } from "ts-pattern";
import type { FleetFrame } from "../model/fleetMessages.ts";
import type { PeerInstance } from "../model/peerMessages.ts";
import type { FleetFrameMessage } from "./generated/fleet.ts";
import { decodeJson, encodeJson } from "./logCodec.ts";

/** Id and address of each instance, by data centre: lists of instances are the longest frames. */
type InstancesOnWire = Readonly<Record<string, readonly (readonly [string, string])[]>>;

type Of<Kind extends FleetFrame["kind"]> = Extract<FleetFrame, { readonly kind: Kind; }>;

type FrameOnWire =
    | Exclude<FleetFrame, Of<"instances"> | Of<"instances_changed">>
    | { readonly kind: "instances"; readonly instances: InstancesOnWire; }
    | { readonly kind: "instances_changed"; readonly joined: InstancesOnWire; readonly left: readonly string[]; };

export function encodeFrame(frame: FleetFrame): FleetFrameMessage {
    const onWire = match<FleetFrame, FrameOnWire>(frame)
        .with({ kind: "instances" }, found => ({ ...found, instances: groupInstances(found.instances) }))
        .with({ kind: "instances_changed" }, found => ({ ...found, joined: groupInstances(found.joined) }))
        .otherwise(other => other as FrameOnWire);
    return { body: encodeJson(onWire) };
}

/** Undefined when the body is no frame; the peer is authenticated, so its fields are trusted. */
export function decodeFrame({ body }: FleetFrameMessage): FleetFrame | undefined {
    try {
        const frame = decodeJson(body) as FrameOnWire;
        if (typeof frame.kind !== "string") {
            return undefined;
        }
        return match<FrameOnWire, FleetFrame>(frame)
            .with({ kind: "instances" }, found => ({ ...found, instances: listInstances(found.instances) }))
            .with({ kind: "instances_changed" }, found => ({ ...found, joined: listInstances(found.joined) }))
            .otherwise(other => other as FleetFrame);
    }
    catch {
        // Not JSON: the peer runs another release.
        return undefined;
    }
}

function groupInstances(instances: readonly PeerInstance[]): InstancesOnWire {
    const byDataCentre = new Map<string, [string, string][]>();
    for (const { dataCentre, instanceId, address } of instances) {
        const group = byDataCentre.get(dataCentre) ?? [];
        group.push([instanceId, address]);
        byDataCentre.set(dataCentre, group);
    }
    return Object.fromEntries(byDataCentre);
}

function listInstances(byDataCentre: InstancesOnWire): readonly PeerInstance[] {
    return Object.entries(byDataCentre).flatMap(([dataCentre, group]) =>
        group.map(([instanceId, address]) => ({ instanceId, address, dataCentre }))
    );
}
