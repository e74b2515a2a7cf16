// A stand-in for clients: one operation on a new session. It is tried again after a promise that nothing was kept, with
// a new id, twice at the most and within its deadline.
import { connect } from "node:net";
import { randomBytes } from "node:crypto";
import { delay } from "./database.mjs";

const promises = new Set(["BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "CONNLIMIT"]);

/** Resolves with the id of the last attempt and its result: "served", or the code of the error. */
export async function operate({ addresses, database, key, write, deadlineMs, record }) {
    const startMs = Date.now();
    let result = "";
    let id = "";
    for (let attempt = 0; attempt < 3; attempt++) {
        id = randomBytes(8).toString("hex");
        const address = addresses()[Math.floor(Math.random() * addresses().length)];
        result = address === undefined
            ? "no front is ready"
            : await attemptOnce({ address, database, key, id, write, limitMs: deadlineMs - (Date.now() - startMs) });
        record(`client ${id} ${write ? "WRITE" : "READ"} at ${address?.host} -> ${result}`);
        const waitMs = 100 + 400 * Math.random();
        if (!promises.has(result.split(" ")[0]) || Date.now() - startMs + waitMs > deadlineMs) {
            break;
        }
        await delay(waitMs);
    }
    return { result, id };
}

function attemptOnce({ address, database, key, id, write, limitMs }) {
    return new Promise(resolve => {
        let text = "";
        let ready = 0;
        let answer = "no answer";
        const socket = connect(address);
        const timer = setTimeout(() => finish("no answer"), limitMs);
        const finish = outcome => {
            clearTimeout(timer);
            socket.destroy();
            resolve(outcome);
        };
        socket.on("error", () => finish("no connection"));
        socket.on("close", () => finish(answer));
        socket.write(`CONNECT ${database} ${key}\r\n`);
        socket.on("data", chunk => {
            text += chunk.toString("latin1");
            const lines = text.split("\r\n");
            text = lines.pop();
            for (const line of lines) {
                const [word, ...rest] = line.split(" ");
                if (word === "ERROR") {
                    answer = rest.join(" ");
                }
                else if (word === "COMPLETE") {
                    answer = "served";
                }
                else if (word === "READY") {
                    ready += 1;
                    if (ready === 1) {
                        socket.write(`QUERY ${id} ${write ? "WRITE item data" : "READ item"}\r\n`);
                    }
                    else {
                        socket.write("QUIT\r\n");
                        finish(answer);
                    }
                }
            }
        });
    });
}
