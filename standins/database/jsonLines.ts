/** Newline-delimited JSON over a socket. */
import type { Socket } from "node:net";

/** Calls `onValue` with the value of each line; closes the connection on a line that is not valid JSON. */
export function readJsonLines(socket: Socket, onValue: (value: unknown) => void): void {
    let incompleteLine = "";
    socket.setEncoding("utf8");
    socket.on("data", (chunk: string) => {
        const lines = (incompleteLine + chunk).split("\n");
        incompleteLine = lines.pop()!;
        for (const line of lines) {
            const value = parseLine(line);
            if (value === undefined) {
                socket.destroy();
                return;
            }
            onValue(value);
        }
    });
}

export function writeJsonLine(socket: Socket, value: unknown): void {
    socket.write(`${JSON.stringify(value)}\n`);
}

function parseLine(line: string): unknown {
    try {
        return JSON.parse(line);
    }
    catch {
        return undefined;
    }
}
