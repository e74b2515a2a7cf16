/** HTTP calls of databases to control members. */

/** Time after which a call without an answer has failed. */
const callTimeoutMs = 1_000;

/** Returns the status of the answer, or 0 if there is none; a redirect is followed. */
export async function postJson(address: string, path: string, body: unknown): Promise<number> {
    try {
        const response = await fetch(`http://${address}${path}`, {
            method: "POST",
            headers: { "Content-Type": "application/json" },
            body: JSON.stringify(body),
            signal: AbortSignal.timeout(callTimeoutMs),
        });
        await response.arrayBuffer();
        return response.status;
    }
    catch {
        // Not listening, or silent; the caller goes on to the next member.
        return 0;
    }
}
