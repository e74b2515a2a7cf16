/** Order of timers and of input that has already arrived. */

/**
 * Calls `callback` at `delayMs` or later, and after the sockets have been read. After a stall of the process, timers fire
 * before the input that arrived meanwhile is read: a session that seems idle may have sent a request.
 */
export function afterPendingInput(delayMs: number, callback: () => void): void {
    setTimeout(() => setImmediate(callback), delayMs);
}
