/** A window that never keeps a statement back; the connections are the only limit. */
import { type ConcurrencyWindow, normalizeSlots, targetPerSlot, WindowPhase } from "./concurrencyWindow.ts";

/** More than the connections that any server accepts. */
export const unlimitedSize = 1_000_000;

export class UnlimitedWindow implements ConcurrencyWindow {
    readonly size = unlimitedSize;
    readonly phase = WindowPhase.Steady;
    private slots: number;

    constructor(slots: number) {
        this.slots = normalizeSlots(slots);
    }

    /** What the server runs at once, for the estimates of waits; it does not limit anything. */
    get expectedSize(): number {
        return targetPerSlot * this.slots;
    }

    setSlots(slots: number): void {
        this.slots = normalizeSlots(slots);
    }

    restart(): void {}

    recordAnswer(): void {}

    recordRejection(): void {}

    recordFailure(): void {}
}
