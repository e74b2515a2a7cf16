/** Replays a recorded run with newly built pipes. */
import { HmacSessionTokenCodec } from "../frontend/sessionTokenCodec.ts";
import { CallerKind } from "../model/callerMessages.ts";
import { RefusalCode } from "../model/refusal.ts";
import { type ReplayResult, replayTrace, type TraceLine } from "../pipeline/trace.ts";
import { decodeMessage } from "../pipeline/traceCodec.ts";
import type { ProofVerifier } from "../request/authenticate.ts";
import { buildPipes, type PipeOptions } from "./buildPipes.ts";

/**
 * Replays the lines of a trace.
 * @param options the options in the header of the trace
 * @param clusterSecret signs session tokens as in the recorded run; with another secret, the results of statements that
 * use tokens differ
 */
export function replayRecordedRun(
    options: unknown,
    lines: readonly TraceLine[],
    clusterSecret: string,
): ReplayResult {
    const verifier = new RecordedVerifier();
    const pipes = buildPipes(options as PipeOptions, { verifier, tokens: new HmacSessionTokenCodec(clusterSecret) });
    return replayTrace(lines, pipes, (event, recordedOutputs) => {
        if (event.kind === CallerKind.Login) {
            verifier.result = !recordedOutputs.some(output => isAccessDenied(output));
        }
    });
}

/** A trace contains no password proofs, so the replay uses the recorded result of each verification. */
class RecordedVerifier implements ProofVerifier {
    result = false;

    verify(): boolean {
        return this.result;
    }
}

function isAccessDenied(output: string): boolean {
    const message = decodeMessage(output) as { readonly refusal?: { readonly code: string; }; };
    return message.refusal?.code === RefusalCode.AccessDenied;
}
