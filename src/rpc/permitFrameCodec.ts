/**
 * Encodes the frames of permits as protobuf messages, for peers that read them: each operation of a small workspace causes
 * a request and an answer, which often cross a region, and JSON takes three times the bytes.
 */
import type { FleetFrame, PermitAnswer } from "../model/fleetMessages.ts";
import { toSafeInteger } from "../model/safeInteger.ts";
import {
    type FleetFrameMessage,
    PermitAnswersMessage,
    PermitRequestMessage,
    type WorkspaceAnswerMessage,
} from "./generated/fleet.ts";

type RequestFrame = Extract<FleetFrame, { readonly kind: "want"; }>;
type AnswersFrame = Extract<FleetFrame, { readonly kind: "permits"; }>;

/** Largest value of an unsigned 32-bit field. */
const maximumUnsigned = 0xffff_ffff;

const emptyBody = Buffer.alloc(0);

/** Returns undefined for a frame of another kind. */
export function encodePermitFrame(frame: FleetFrame): FleetFrameMessage | undefined {
    switch (frame.kind) {
        case "want":
            return { body: emptyBody, permitRequest: encodeRequest(frame) };
        case "permits":
            return { body: emptyBody, permitAnswers: encodeAnswers(frame) };
        default:
            return undefined;
    }
}

/**
 * Returns the frame, unchecked, or undefined if the message contains none of permits.
 * @throws Error if it is malformed
 */
export function decodePermitFrame({ permitRequest, permitAnswers }: FleetFrameMessage): unknown {
    if (permitRequest !== undefined) {
        return decodeRequest(permitRequest);
    }
    return permitAnswers === undefined ? undefined : decodeAnswers(permitAnswers);
}

function encodeRequest({ sequence, heard, term, wants }: RequestFrame): Buffer {
    const encoded = wants.map(([workspace, waiting, prefetch, held, fallbackUsed]) => ({
        workspace,
        waiting: toUnsigned(waiting),
        prefetch: toUnsigned(prefetch),
        held: toUnsigned(held),
        fallbackUsed: toSafeInteger(fallbackUsed),
    }));
    return Buffer.from(PermitRequestMessage.encode({ sequence, heard, term, wants: encoded }).finish());
}

function decodeRequest(bytes: Buffer): unknown {
    const { sequence, heard, term, wants } = PermitRequestMessage.decode(bytes);
    return {
        kind: "want",
        sequence,
        heard,
        term,
        wants: wants.map((
            { workspace, waiting, prefetch, held, fallbackUsed },
        ) => [workspace, waiting, prefetch, held, fallbackUsed]),
    };
}

function encodeAnswers({ term, sequence, answers }: AnswersFrame): Buffer {
    const encoded = answers.map(([workspace, count, retryMs = 0, shareMillionths, burstHundredths = 0]) => ({
        workspace,
        count: toUnsigned(count),
        // Rounded up, so that no instance asks before the leader would grant.
        retryMs: toUnsigned(Math.ceil(retryMs)),
        shareMillionths: shareMillionths === undefined ? undefined : toUnsigned(shareMillionths),
        burstHundredths: toSafeInteger(burstHundredths),
    }));
    return Buffer.from(PermitAnswersMessage.encode({ term, sequence, answers: encoded }).finish());
}

/** The encoder throws on greater values. */
function toUnsigned(value: number): number {
    return Math.min(value, maximumUnsigned);
}

function decodeAnswers(bytes: Buffer): unknown {
    const { term, sequence, answers } = PermitAnswersMessage.decode(bytes);
    return { kind: "permits", term, sequence, answers: answers.map(decodeAnswer) };
}

function decodeAnswer(answer: WorkspaceAnswerMessage): PermitAnswer {
    const { workspace, count, retryMs, shareMillionths, burstHundredths } = answer;
    if (shareMillionths !== undefined) {
        return [workspace, count, retryMs, shareMillionths, burstHundredths];
    }
    return retryMs > 0 ? [workspace, count, retryMs] : [workspace, count];
}
