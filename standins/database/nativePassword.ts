/** Server side of mysql_native_password authentication. */
import { createHash, timingSafeEqual } from "node:crypto";

/**
 * Verifies the token with which a client responds to the challenge.
 * @param token SHA1(password) XOR SHA1(challenge + SHA1(SHA1(password)))
 */
export function verifyNativePassword(password: string, challenge: Buffer, token: Buffer | undefined): boolean {
    const stage1 = sha1(Buffer.from(password));
    const mask = sha1(Buffer.concat([challenge, sha1(stage1)]));
    const expected = Buffer.from(stage1.map((byte, index) => byte ^ mask[index]!));
    return token !== undefined && token.length === expected.length && timingSafeEqual(token, expected);
}

function sha1(data: Buffer): Buffer {
    return createHash("sha1").update(data).digest();
}
