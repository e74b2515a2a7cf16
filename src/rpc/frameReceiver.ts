/** Receives the frames of attachments, on the side that opened them and on the side that accepted them. */
import { FleetKind, type FrameReceived, type FrameRefused } from "../model/fleetMessages.ts";
import type { Message } from "../pipeline/message.ts";
import type { PeerTrafficObserver } from "../telemetry/loadLog.ts";
import { decodeFrame, frameBytes } from "./fleetCodec.ts";
import type { FleetFrameMessage } from "./generated/fleet.ts";

export interface FrameReceiverOptions {
    readonly post: (message: Message) => void;
    readonly traffic: PeerTrafficObserver;
}

/**
 * Posts a frame that arrived on an attachment. A frame of an unknown kind is ignored, so that releases can run side by
 * side.
 * @param peer names the other end in the figures of the traffic
 * @returns false if the frame is malformed and the attachment must be closed
 */
export function receiveFrame(
    message: FleetFrameMessage,
    attachmentId: string,
    peer: string,
    { post, traffic }: FrameReceiverOptions,
): boolean {
    try {
        const frame = decodeFrame(message);
        if (frame !== undefined) {
            traffic.recordReceived(frame.kind, frameBytes(message), peer);
            post({ kind: FleetKind.FrameReceived, attachmentId, frame } as FrameReceived);
        }
        return true;
    }
    catch (error) {
        post({ kind: FleetKind.FrameRefused, attachmentId, reason: (error as Error).message } as FrameRefused);
        return false;
    }
}
