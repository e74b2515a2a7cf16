import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FleetKind } from "../../model/fleetMessages.ts";
import { LinkCommandKind } from "../../model/linkMessages.ts";
import { PeerKind } from "../../model/peerMessages.ts";
import { type SessionStatement, SessionStatementKind, StatementFault } from "../../model/sessionStatement.ts";
import { RouteConsistency } from "../../model/trafficPolicy.ts";
import type { Message } from "../../pipeline/message.ts";
import { position, route, SessionFixture, statement } from "./sessionFixture.ts";

const orders = route(RouteConsistency.Primary, "orders");
const longerThanStatementMs = 60_000;

/** Brings the write "w1" to where it waits. */
const waits: Readonly<Record<string, () => RemovalFixture>> = {
    "for a permit": () => start({ permits: 0 }),
    "for a primary": () => start({ hasPrimary: false }),
    "for a link": () => start(),
    "behind other tasks for a slot": () => {
        const fixture = start({ sessionCount: 40 });
        fixture.openLinks();
        return fixture;
    },
    "for its holder": () => start({ hasHolder: true }),
    "for its database": () => {
        const fixture = start();
        fixture.openLinks();
        return fixture;
    },
};

const removals: Readonly<Record<string, (fixture: SessionFixture) => void>> = {
    key: fixture => fixture.configureWithoutKeys(),
    route: fixture => fixture.configure(route(RouteConsistency.Primary, "others")),
    database: fixture => fixture.post({ kind: FleetKind.DatabaseRemoved, databaseId: "p" } as Message),
};

/** Remembers the sessions that sent a statement. */
class RemovalFixture extends SessionFixture {
    readonly requested: string[] = [];

    override request(sessionId: string, requested: SessionStatement): void {
        this.requested.push(sessionId);
        super.request(sessionId, requested);
    }
}

function start({ permits = 100, hasPrimary = true, hasHolder = false, sessionCount = 1 } = {}): RemovalFixture {
    const fixture = new RemovalFixture(permits);
    fixture.configure(orders);
    if (hasPrimary) {
        fixture.reportDatabase("p", true);
    }
    if (hasHolder) {
        const instances = [{ instanceId: "front2", address: "f2:1", dataCentre: "dc1" }];
        fixture.post({ kind: PeerKind.InstancesKnown, instances } as never);
    }
    for (let index = 1; index <= sessionCount; index++) {
        fixture.connect(`s${index}`, "orders");
        fixture.request(`s${index}`, statement(SessionStatementKind.Write, `w${index}`));
    }
    return fixture;
}

function runCount({ sent }: SessionFixture): number {
    return sent.filter(({ command }) => command.kind === LinkCommandKind.Run).length;
}

describe("statements that wait when the configuration no longer has their", () => {
    for (const [removed, remove] of Object.entries(removals)) {
        for (const [wait, create] of Object.entries(waits)) {
            for (const replies of [false, true]) {
                it(`${removed}: each is answered once (${wait}, the database ${replies ? "replies" : "is silent"})`, () => {
                    const fixture = create();
                    assert.equal(fixture.answers.length, 0);
                    remove(fixture);
                    if (replies) {
                        for (let index = 0; index < fixture.requested.length; index++) {
                            fixture.openLinks();
                            [...new Set(fixture.sent.map(({ linkId }) => linkId))]
                                .forEach(linkId => fixture.reply(linkId, { position: position(1, index + 1) }));
                        }
                    }
                    fixture.advance(longerThanStatementMs);
                    const answered = fixture.answers.map(({ sessionId }) => sessionId);
                    assert.deepEqual(answered.sort(), [...fixture.requested].sort());
                    const faults = fixture.answers.map(({ answer }) => answer.fault);
                    const mayHaveRun = faults.filter(fault => fault === undefined || fault === StatementFault.InDoubt);
                    const passed = fixture.otherMessages.filter(({ kind }) => kind === PeerKind.Send).length;
                    assert.ok(mayHaveRun.length <= runCount(fixture) + passed);
                    assert.ok(mayHaveRun.length >= runCount(fixture));
                });
            }
        }
    }
});
