import assert from "node:assert/strict";
import { EventEmitter, once } from "node:events";
import { type AddressInfo, createServer } from "node:net";
import { describe, it } from "node:test";
import { LinkCommandKind, LinkKind, LinkLoss, type LinkLost, type LinkReplied } from "../../model/linkMessages.ts";
import type { Message } from "../../pipeline/message.ts";
import { WireClient } from "../wireClient.ts";

/** Opens a link to a database that sends a text, and returns what was posted when the link is lost. */
async function lastMessage(text: string): Promise<{ readonly lost: LinkLost; readonly posted: readonly Message[]; }> {
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.write(text, "latin1");
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const posted: Message[] = [];
    const ended = new EventEmitter();
    const post = (message: Message): void => {
        posted.push(message);
        ended.emit(message.kind, message);
    };
    await using client = new WireClient({ post });
    const { port } = server.address() as AddressInfo;
    const address = `127.0.0.1:${port}`;
    client.deliver({ kind: LinkKind.Open, linkId: "l", address, service: "s", workspace: "w", databaseId: "d" });
    const [lost] = await once(ended, LinkKind.Lost) as [LinkLost];
    server.close();
    return { lost, posted };
}

describe("links to databases", () => {
    let client: WireClient | undefined;

    it("are lost if the address is invalid, without terminating the process", async () => {
        const posted: Message[] = [];
        await using client = new WireClient({ post: message => posted.push(message) });
        const addresses = ["10.0.0.1:99999", "10.0.0.1:-1", "10.0.0.1:1.5", "10.0.0.1", "10.0.0.1:", ":80", ""];
        addresses.forEach((address, index) =>
            client.deliver({
                kind: LinkKind.Open,
                linkId: `l${index}`,
                address,
                service: "s",
                workspace: "w",
                databaseId: "d",
            })
        );
        assert.deepEqual(
            posted.map(message => [(message as LinkLost).linkId, (message as LinkLost).loss]),
            addresses.map((_, index) => [`l${index}`, LinkLoss.NoListener]),
        );
    });

    it("tell what was wrong with the message that ended them, without its text", async () => {
        const streams = [
            "READY I 1.1\r\nHELLO x\r\n",
            "READY I 1.1\r\nROW x\r\nREADY I 1.1\r\n",
            "x".repeat(1_100_000),
        ];
        const defects: (string | undefined)[] = [];
        for (const sent of streams) {
            const { lost } = await lastMessage(sent);
            assert.equal(lost.loss, LinkLoss.Broken);
            defects.push(lost.defect);
        }
        assert.deepEqual(defects, [
            "a message of 7 bytes is none of the protocol",
            "1 rows without an outcome",
            "a message exceeds 1048576 bytes",
        ]);
    });

    it("end at a reply that cannot be told to a caller as it came", async () => {
        // Guards against rows of one reply in the next one, forged outcomes, and signatures or positions that are changed.
        const ready = "READY I 1.1\r\n";
        const replies = [
            "ROW x\r\nCOMPLETE a\r\nCOMPLETE b\r\n",
            "COMPLETE a\r\nROW x\r\n",
            "ERROR BUSY x\r\nCOMPLETE a\r\n",
            "ROW\r\n",
            "COMPLETE a\r\nREADY X 1.1\r\n",
            "COMPLETE a\r\nREADY toString 1.1\r\n",
            "COMPLETE a\r\nREADY I\r\n",
            "COMPLETE a\r\nREADY I 1.1 x\r\n",
            "COMPLETE a\r\nREADY I 1.99999999999999999999\r\n",
            "row x\r\n",
        ].map(reply => ready + reply).concat(`ROW x\r\nCOMPLETE a\r\n${ready}`);
        for (const sent of replies) {
            const { lost, posted } = await lastMessage(sent);
            assert.equal(lost.loss, LinkLoss.Broken);
            assert.notEqual(lost.defect, undefined, sent);
            assert.equal(posted.some(({ kind }) => kind === LinkKind.Replied), false, sent);
        }
    });

    it("end at a reply of more than the memory that is allowed, however small its rows are", async () => {
        const row = `ROW ${"x".repeat(1_048_572)}\r\n`;
        for (const rows of [row.repeat(9), "ROW \r\n".repeat(140_000)]) {
            const { lost } = await lastMessage(`READY I 1.1\r\n${rows}COMPLETE a\r\nREADY I 1.1\r\n`);
            assert.equal(lost.defect, "a reply exceeds 8388608 bytes");
        }
    });

    it("pass on rows and signatures of any bytes, and the state and position", async () => {
        const rows = ["", " ", "x\ny", "x\r", "\rCOMPLETE b\nREADY I 1.1", "\0\xff", "y".repeat(1_048_572)];
        const signature = "a b  c\n";
        const reply = `${rows.map(row => `ROW ${row}\r\n`).join("")}COMPLETE ${signature}\r\nREADY T 3.7\r\n`;
        const { posted } = await lastMessage(`READY I -\r\n${reply}END\r\n`);
        const replied = posted.find(({ kind }) => kind === LinkKind.Replied) as LinkReplied;
        assert.deepEqual([replied.reply.rows, replied.reply.signature], [rows, signature]);
        assert.deepEqual([replied.reply.transaction, replied.reply.position], ["open", { term: 3, offset: 7 }]);
    });

    it("are refused before anything is sent if a name cannot be one word of a message", async () => {
        // Guards against the name of a workspace that becomes a command to the database.
        const posted: Message[] = [];
        await using client = new WireClient({ post: message => posted.push(message) });
        const names = ["t \r\nQUERY - STEPDOWN 99", "a b", "a\r\nb"];
        const open = {
            kind: LinkKind.Open,
            address: "127.0.0.1:1",
            service: "s",
            workspace: "w",
            databaseId: "d",
        } as const;
        names.forEach(workspace => client.deliver({ ...open, linkId: "l", workspace }));
        names.concat("").forEach(service => client.deliver({ ...open, linkId: "l", service }));
        assert.deepEqual(
            posted.map(message => [(message as LinkLost).loss, (message as LinkLost).defect !== undefined]),
            Array.from({ length: 7 }, () => [LinkLoss.Refused, true]),
        );
    });

    it("end before any command is sent if one of them would be read as another", async () => {
        const received: Buffer[] = [];
        const server = createServer(socket => {
            socket.once("data", chunk => {
                received.push(chunk);
                socket.write("READY I -\r\n");
                socket.on("data", later => received.push(later));
            });
        });
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        const events = new EventEmitter();
        await using client = new WireClient({ post: message => events.emit(message.kind, message) });
        const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
        const values = ["a\r\nQUERY - STEPDOWN 9", "\u010d\u010aQUERY - STEPDOWN 9", "x".repeat(1_048_576)];
        for (const value of values) {
            const opened = once(events, LinkKind.Opened);
            client.deliver({
                kind: LinkKind.Open,
                linkId: "l",
                address,
                service: "s",
                workspace: "\xc3\xa9",
                databaseId: "d",
            });
            await opened;
            const lost = once(events, LinkKind.Lost);
            const commands = [{ kind: LinkCommandKind.Begin }, {
                kind: LinkCommandKind.SetValue,
                name: "x",
                value,
            }] as const;
            client.deliver({ kind: LinkKind.Send, linkId: "l", commands });
            assert.equal((await lost as [LinkLost])[0].loss, LinkLoss.Broken);
        }
        server.close();
        assert.equal(Buffer.concat(received).toString(), "CONNECT s \u00e9 d\r\n".repeat(values.length));
    });

    it("outlive a reply to CONNECT that the database repeats", async () => {
        const server = createServer(socket =>
            socket.write("READY I 1.1\r\nREADY I 1.1\r\nCOMPLETE -\r\nREADY I 1.1\r\n")
        );
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        const { port } = server.address() as AddressInfo;
        const posted: Message[] = [];
        const replied = new Promise<void>(resolve => {
            const post = (message: Message): void => {
                posted.push(message);
                if (posted.length === 2) {
                    resolve();
                }
            };
            client = new WireClient({ post });
        });
        client!.deliver({
            kind: LinkKind.Open,
            linkId: "l",
            address: `127.0.0.1:${port}`,
            service: "s",
            workspace: "w",
            databaseId: "d",
        });
        await replied;
        await client![Symbol.asyncDispose]();
        server.close();
        assert.deepEqual(posted.map(({ kind }) => kind), [LinkKind.Opened, LinkKind.Replied]);
    });
});
