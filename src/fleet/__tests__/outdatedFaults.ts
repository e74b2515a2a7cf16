/**
 * Faults that leave some part with outdated knowledge: reports that are lost, late or rare, control members that stand
 * still or are cut off and then lead, records that reach instances late, and orders that are executed late.
 */
import { Faults } from "./promotionFaults.ts";
import type { PromotionWorld } from "./promotionWorld.ts";
import type { SimulatedDatabase } from "./simulatedDatabase.ts";
import type { SimulatedMember } from "./simulatedMember.ts";

/** Time after which another control member is elected. */
const minimumElectionMs = 300;
const maximumElectionMs = 1_500;

/** Time for which a leader without the other members believes that it leads. */
const maximumLeadsOnMs = 1_000;

export class OutdatedFaults extends Faults {
    constructor(world: PromotionWorld, seed: number) {
        super(world, seed);
        world.nextPlatformDelayMs = () =>
            this.pick([world.platformDelayMs, this.between(0, 400), this.between(1_000, 4_000)]);
        world.nextReportDelayMs = () => {
            const draw = this.random.nextInteger(5);
            return draw === 0 ? undefined : draw === 1 ? this.between(0, 3_000) : 0;
        };
        world.nextProposalIsKept = () => this.random.nextInteger(2) === 0;
        world.orderSent = databaseId => this.orderSent(databaseId);
    }

    override run(): void {
        super.run();
        const { world } = this;
        world.nextPlatformDelayMs = () => 0;
        world.nextReportDelayMs = () => 0;
        world.orderSent = () => undefined;
    }

    protected override start(): void {
        const { world } = this;
        const database = this.pick(world.databases);
        switch (this.random.nextInteger(10)) {
            case 0:
            case 1:
                return super.start();
            case 2:
                return this.loseMember(world.leader);
            case 3:
                return this.loseMember(this.pick(world.members));
            case 4:
                return this.cutFromMembers(database);
            case 5:
                return this.cutFromControl(this.random.nextInteger(2) === 0 ? world.primary ?? database : database);
            case 6:
                return this.lag(database);
            case 7:
                return this.delayFeed();
            case 8:
                return this.loseDatabasesAndLeader();
            case 9:
                return this.beginPlannedChange();
        }
    }

    protected override restartControl(): void {
        if (this.world.members.length === 3) {
            super.restartControl();
        }
    }

    protected override later(repair: () => void): void {
        this.world.after(this.between(300, 7_000), repair);
    }

    /** One member of three stands still, is cut from the others or ends; if it leads, another one is elected. */
    private loseMember(member: SimulatedMember | undefined): void {
        const { world } = this;
        if (member === undefined || world.members.filter(isAvailable).length < 3) {
            return;
        }
        const { memberId } = member;
        if (member === world.leader) {
            this.electLater(this.random.nextInteger(maximumLeadsOnMs));
        }
        switch (this.random.nextInteger(3)) {
            case 0:
                this.note(`${memberId} stands still`);
                member.standStill();
                return this.later(() => world.wake(member));
            case 1:
                this.note(`cut ${memberId} from members`);
                member.cutFromMembers = true;
                return this.later(() => world.rejoinMember(member));
            case 2: {
                this.note(`stop ${memberId}`);
                const remembered = world.listDatabases();
                world.stopMember(member);
                return this.later(() => world.restartMember(memberId, remembered));
            }
        }
    }

    private electLater(leadsOnMs: number): void {
        const { world } = this;
        world.after(this.between(minimumElectionMs, maximumElectionMs), () => {
            const available = world.members.filter(isAvailable);
            const isNeeded = world.leader === undefined || !isAvailable(world.leader);
            if (isNeeded && available.length > 1) {
                const elected = this.pick(available);
                this.note(`${elected.memberId} is elected`);
                world.changeLeader(elected, leadsOnMs);
            }
        });
    }

    private cutFromMembers(database: SimulatedDatabase): void {
        const cut = this.world.members.filter(() => this.random.nextInteger(2) === 0).map(({ memberId }) => memberId);
        this.note(`cut ${database.id} from ${cut.join(", ")}`);
        cut.forEach(memberId => database.cutFromMembers.add(memberId));
        this.later(() => this.world.rejoin(database.address));
    }

    private cutFromControl(database: SimulatedDatabase): void {
        if (database.dark || database.cutFromControl) {
            return;
        }
        database.cutFromControl = true;
        this.world.databases.filter(other => other !== database && this.random.nextInteger(3) === 0)
            .forEach(({ address }) => database.cutFrom.add(address));
        this.note(`cut ${database.id} from control, ${[...database.cutFrom].join(", ")}`);
        this.later(() => this.world.rejoin(database.address));
    }

    private lag(database: SimulatedDatabase): void {
        if (database.lagMs === 0) {
            database.lagMs = this.between(100, 3_000);
            this.note(`${database.id} lags ${database.lagMs} ms`);
            this.later(() => {
                database.lagMs = 0;
            });
        }
    }

    private delayFeed(): void {
        const instance = this.pick(this.world.instances);
        if (instance.feedDelayMs === 0) {
            instance.feedDelayMs = this.between(100, 3_000);
            this.note(`feed of ${instance.instanceId} is ${instance.feedDelayMs} ms late`);
            this.later(() => {
                instance.feedDelayMs = 0;
            });
        }
    }

    private loseDatabasesAndLeader(): void {
        const { world } = this;
        const { primary } = world;
        const others = world.databases.filter(database => database !== primary);
        this.crash(primary ?? this.pick(world.databases));
        world.advance(this.random.nextInteger(50));
        this.crash(this.pick(others));
        world.advance(this.random.nextInteger(50));
        this.loseMember(world.leader);
    }

    /** The primary steps down for a planned change, and comes back or simply goes on. */
    private beginPlannedChange(): void {
        const { primary } = this.world;
        if (primary === undefined || primary.dark || primary.draining) {
            return;
        }
        const goesOn = this.random.nextInteger(2) === 0;
        this.note(`replace ${primary.id}${goesOn ? ", which goes on" : ""}`);
        primary.draining = true;
        this.world.report(primary);
        const database = primary;
        this.later(() => {
            if (!database.running || database.dark) {
                return;
            }
            if (goesOn) {
                database.draining = false;
                this.world.report(database);
            }
            else {
                this.world.crash(database);
                this.world.restart(database);
            }
        });
    }

    /** The former primary, or another one, is cut from the database that is ordered to lead. */
    private orderSent(databaseId: string): void {
        const { world } = this;
        const chosen = world.databases.find(({ id }) => id === databaseId);
        const former = world.primary;
        if (chosen === undefined || former === undefined || former === chosen || this.random.nextInteger(3) > 0) {
            return;
        }
        this.note(`cut ${former.id} from ${chosen.id}`);
        former.cutFrom.add(chosen.address);
        this.later(() => world.rejoin(former.address));
    }
}

function isAvailable({ running, standsStill, cutFromMembers }: SimulatedMember): boolean {
    return running && !standsStill && !cutFromMembers;
}
