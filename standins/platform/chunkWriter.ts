/** Writes messages to a socket one after the other, some of them in chunks. */
import type { Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import type { OddTexts } from "./oddTexts.ts";

/** Pause between two chunks, so that the receiver gets them apart. */
const chunkPauseMs = 1;

export class ChunkWriter {
    private readonly socket: Socket;
    private readonly texts: OddTexts | undefined;
    private readonly waiting: Buffer[] = [];
    private isWriting = false;

    /** @param texts cuts the messages; without it, each one is written at once */
    constructor(socket: Socket, texts?: OddTexts) {
        this.socket = socket;
        this.texts = texts;
        socket.setNoDelay(true);
    }

    write(message: Buffer): void {
        this.waiting.push(...this.texts?.cut(message) ?? [message]);
        void this.writeWaiting();
    }

    private async writeWaiting(): Promise<void> {
        if (this.isWriting) {
            return;
        }
        this.isWriting = true;
        while (this.waiting.length > 0 && this.socket.writable) {
            this.socket.write(this.waiting.shift()!);
            if (this.waiting.length > 0) {
                await delay(chunkPauseMs);
            }
        }
        this.isWriting = false;
    }
}
