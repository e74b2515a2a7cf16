/** Newline-delimited JSON over a socket. */
import type { Socket } from "node:net";

/** Calls `receive` for each line; a line that is not JSON ends the connection. */
export function readJsonLines(socket: Socket, receive: (value: unknown) => void): void {
    let rest = "";
    socket.setEncoding("utf8");
    socket.on("data", (chunk: string) => {
        const lines = (rest + chunk).split("\n");
        rest = lines.pop()!;
        for (const line of lines) {
            const value = parse(line);
            if (value === undefined) {
                socket.destroy();
                return;
            }
            receive(value);
        }
    });
}

export function writeJsonLine(socket: Socket, value: unknown): void {
    socket.write(`${JSON.stringify(value)}\n`);
}

function parse(line: string): unknown {
    try {
        return JSON.parse(line);
    }
    catch {
        return undefined;
    }
}
