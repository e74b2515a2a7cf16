/**
 * Session tokens, with which a caller transfers its session floors (the log positions that its reads must observe) to
 * another connection or instance.
 */
import { createHmac, timingSafeEqual } from "node:crypto";
import * as z from "zod";
import type { SessionFloors, SessionTokenCodec } from "../request/sessionState.ts";

const nonNegativeInteger = z.number().int().nonnegative();
const payloadSchema = z.object({
    callerId: z.string(),
    floors: z.array(z.tuple([z.string(), nonNegativeInteger, nonNegativeInteger])).max(1_000),
});

const signatureBytes = 16;
const keyDerivationLabel = "jasmineline session token 1";

/**
 * Encodes a token as `payload.signature`, both in base64url. The signature is a truncated HMAC-SHA256 under a key that
 * is derived from the cluster secret.
 */
export class HmacSessionTokenCodec implements SessionTokenCodec {
    private readonly key: Buffer;

    constructor(clusterSecret: string) {
        this.key = createHmac("sha256", clusterSecret).update(keyDerivationLabel).digest();
    }

    encode({ callerId, floors }: SessionFloors): string {
        const rows = [...floors].map(([groupId, { term, offset }]) => [groupId, term, offset]);
        const payload = Buffer.from(JSON.stringify({ callerId, floors: rows })).toString("base64url");
        return `${payload}.${this.sign(payload).toString("base64url")}`;
    }

    decode(token: string): SessionFloors | undefined {
        const [payload, signature, ...rest] = token.split(".");
        if (payload === undefined || signature === undefined || rest.length > 0) {
            return undefined;
        }
        const givenSignature = Buffer.from(signature, "base64url");
        if (givenSignature.length !== signatureBytes || !timingSafeEqual(givenSignature, this.sign(payload))) {
            return undefined;
        }
        return parsePayload(payload);
    }

    private sign(payload: string): Buffer {
        return createHmac("sha256", this.key).update(payload).digest().subarray(0, signatureBytes);
    }
}

function parsePayload(payload: string): SessionFloors | undefined {
    const parsed = payloadSchema.safeParse(JSON.parse(Buffer.from(payload, "base64url").toString("utf8")));
    if (!parsed.success) {
        return undefined;
    }
    const { callerId, floors } = parsed.data;
    return { callerId, floors: new Map(floors.map(([groupId, term, offset]) => [groupId, { term, offset }])) };
}
