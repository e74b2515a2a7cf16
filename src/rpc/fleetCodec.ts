/** Encodes and decodes the frames of attachments (the streams between instances and control members) as JSON. */
import { match } from "ts-pattern";
import type { FleetFrame } from "../model/fleetMessages.ts";
import type { PeerInstance } from "../model/peerMessages.ts";
import { type CheckedFrame, checkFrame } from "./fleetFrameSchema.ts";
import type { FleetFrameMessage } from "./generated/fleet.ts";
import { decodeJson, encodeJson } from "./logCodec.ts";
import { decodePermitFrame, encodePermitFrame } from "./permitFrameCodec.ts";

/**
 * Id and address of each instance, grouped by data centre to reduce the size: lists of instances are the largest
 * frames.
 */
type EncodedInstances = Readonly<Record<string, readonly (readonly [string, string])[]>>;

type FrameOf<Kind extends FleetFrame["kind"]> = Extract<FleetFrame, { readonly kind: Kind; }>;

type EncodedFrame =
    | Exclude<FleetFrame, FrameOf<"instances"> | FrameOf<"instances_changed">>
    | { readonly kind: "instances"; readonly instances: EncodedInstances; }
    | { readonly kind: "instances_changed"; readonly joined: EncodedInstances; readonly left: readonly string[]; };

/** @param peerReadsPermitMessages as its frames told; see `readsPermitMessages` */
export function encodeFrame(frame: FleetFrame, peerReadsPermitMessages = false): FleetFrameMessage {
    const permitFrame = peerReadsPermitMessages ? encodePermitFrame(frame) : undefined;
    if (permitFrame !== undefined) {
        return permitFrame;
    }
    const encoded = match<FleetFrame, EncodedFrame>(frame)
        .with({ kind: "instances" }, matched => ({ ...matched, instances: groupByDataCentre(matched.instances) }))
        .with({ kind: "instances_changed" }, matched => ({ ...matched, joined: groupByDataCentre(matched.joined) }))
        .otherwise(other => other as EncodedFrame);
    // An attachment begins with these frames, in both directions.
    const opensAttachment = frame.kind === "hello" || frame.kind === "status";
    return { body: encodeJson(encoded), ...opensAttachment ? { readsPermitMessages: true } : {} };
}

/** Size of a frame without framing. */
export function frameBytes({ body, permitRequest, permitAnswers }: FleetFrameMessage): number {
    return body.length + (permitRequest?.length ?? 0) + (permitAnswers?.length ?? 0);
}

/**
 * Returns undefined if the kind of the frame is unknown: a peer of a later release sent it.
 * @throws Error that tells what is wrong with a malformed frame
 */
export function decodeFrame(message: FleetFrameMessage): FleetFrame | undefined {
    const frame = checkFrame(decodePermitFrame(message) ?? decodeJson(message.body));
    return match<CheckedFrame | undefined, FleetFrame | undefined>(frame)
        .with({ kind: "instances" }, matched => ({ ...matched, instances: flattenGroups(matched.instances) }))
        .with({ kind: "instances_changed" }, matched => ({ ...matched, joined: flattenGroups(matched.joined) }))
        // The encoding omits fields that are undefined.
        .otherwise(other => other as FleetFrame | undefined);
}

function groupByDataCentre(instances: readonly PeerInstance[]): EncodedInstances {
    const byDataCentre = new Map<string, [string, string][]>();
    for (const { dataCentre, instanceId, address } of instances) {
        const group = byDataCentre.get(dataCentre) ?? [];
        group.push([instanceId, address]);
        byDataCentre.set(dataCentre, group);
    }
    return Object.fromEntries(byDataCentre);
}

function flattenGroups(byDataCentre: EncodedInstances): readonly PeerInstance[] {
    return Object.entries(byDataCentre).flatMap(([dataCentre, group]) =>
        group.map(([instanceId, address]) => ({ instanceId, address, dataCentre }))
    );
}
