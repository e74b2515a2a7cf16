/** Verifies responses to the challenge of the `mysql_native_password` authentication method. */
import { createHash, timingSafeEqual } from "node:crypto";
import type { ProofVerifier } from "../request/authenticate.ts";

/**
 * The caller proves that it knows SHA-1(secret) by sending it XORed with SHA-1(challenge + SHA-1(SHA-1(secret))). Only
 * the double SHA-1 is stored. Neither the secret nor anything that can be replayed is sent over the network.
 */
export class NativePasswordVerifier implements ProofVerifier {
    verify(challengeHex: string, proofHex: string, doubleSha1Hex: string): boolean {
        const proof = Buffer.from(proofHex, "hex");
        const stored = Buffer.from(doubleSha1Hex, "hex");
        if (proof.length !== sha1Bytes || stored.length !== sha1Bytes) {
            return false;
        }
        const mask = sha1(Buffer.concat([Buffer.from(challengeHex, "hex"), stored]));
        const singleHash = Buffer.from(proof.map((byte, index) => byte ^ mask[index]!));
        return timingSafeEqual(sha1(singleHash), stored);
    }
}

const sha1Bytes = 20;

function sha1(data: Buffer): Buffer {
    return createHash("sha1").update(data).digest();
}

/** Returns the hash under which the control state stores a secret. */
export function doubleSha1Hex(secret: string): string {
    return sha1(sha1(Buffer.from(secret, "utf8"))).toString("hex");
}
