/** Frames of attachments on the wire. */
import type { FleetFrame } from "../model/fleetMessages.ts";
import type { FleetFrameMessage } from "./generated/fleet.ts";
import { decodeJson, encodeJson } from "./logCodec.ts";

export function encodeFrame(frame: FleetFrame): FleetFrameMessage {
    return { body: encodeJson(frame) };
}

/** Undefined when the body is no frame; the peer is authenticated, so its fields are trusted. */
export function decodeFrame({ body }: FleetFrameMessage): FleetFrame | undefined {
    try {
        const frame = decodeJson(body) as FleetFrame;
        return typeof frame.kind === "string" ? frame : undefined;
    }
    catch {
        // Not JSON: the peer runs another release.
        return undefined;
    }
}
