/**
 * Links between entry VMs in one process, for tests. Links can be cut, healed, held back and told
 * to lose answers, each direction by itself; nothing depends on real time.
 */

import type {
  Clock,
  IncarnationId,
  Instant,
  NodeIdentity,
  Unregister,
  VmId,
} from '@nutmegproxy/core';
import type {
  BodyValidator,
  Peer,
  PeerFailure,
  PeerHandler,
  PeerMessage,
  TargetedMesh,
} from '@nutmegproxy/peers';

import {err, ok, ResultAsync} from 'neverthrow';

/** What becomes of messages in one direction. `hold` keeps them until `release`. */
export type Passage = 'cut' | 'hold' | 'open';

interface Registration {
  readonly check: BodyValidator;
  readonly handler: PeerHandler;
}

const UNREACHABLE: PeerFailure = {kind: 'unreachable', message: 'the link is cut'};

/** Copies a body as the wire would, so that no two processes share an object. */
function copyBody(body: unknown): unknown {
  return body === undefined ? undefined : structuredClone(body);
}

/**
 * A network of processes in memory.
 *
 * @example
 * const network = new LocalNetwork();
 * const mesh = network.attach(identity, clock);
 * network.setPassage(vmA, vmB, 'cut');
 */
export class LocalNetwork {
  readonly #held: {readonly deliver: () => void; readonly direction: string}[] = [];
  readonly #meshes = new Map<IncarnationId, LocalMesh>();
  readonly #passages = new Map<string, Passage>();

  /** Adds a process; handlers hear the time of its own clock. */
  attach(identity: NodeIdentity, clock: Clock): LocalMesh {
    const mesh = new LocalMesh(this, identity, clock);
    this.#meshes.set(identity.incarnation, mesh);
    return mesh;
  }

  /** Ends a process: it hears and says nothing any more. */
  detach(identity: NodeIdentity): void {
    this.#meshes.delete(identity.incarnation);
  }

  /** Hands a message on, now or at `release`; returns whether the direction is not cut. */
  deliver(from: VmId, to: VmId, deliver: () => void): boolean {
    const passage = this.passage(from, to);
    if (passage === 'hold') {
      this.#held.push({deliver, direction: direction(from, to)});
    }
    if (passage === 'open') {
      deliver();
    }
    return passage !== 'cut';
  }

  meshes(): readonly LocalMesh[] {
    return [...this.#meshes.values()];
  }

  passage(from: VmId, to: VmId): Passage {
    return this.#passages.get(direction(from, to)) ?? 'open';
  }

  /** Delivers what is held back in one direction, in order, however late it now is. */
  release(from: VmId, to: VmId): void {
    const wanted = direction(from, to);
    const due = this.#held.filter((each) => each.direction === wanted);
    const rest = this.#held.filter((each) => each.direction !== wanted);
    this.#held.splice(0, this.#held.length, ...rest);
    for (const {deliver} of due) {
      deliver();
    }
  }

  setPassage(from: VmId, to: VmId, passage: Passage): void {
    this.#passages.set(direction(from, to), passage);
  }
}

function direction(from: VmId, to: VmId): string {
  return `${from}>${to}`;
}

/** One process's end of a LocalNetwork. */
export class LocalMesh implements TargetedMesh {
  readonly identity: NodeIdentity;
  /** Addresses that were last set as targets. */
  targets: readonly string[] = [];
  readonly #clock: Clock;
  readonly #handlers = new Map<string, Registration>();
  readonly #network: LocalNetwork;

  constructor(network: LocalNetwork, identity: NodeIdentity, clock: Clock) {
    this.identity = identity;
    this.#clock = clock;
    this.#network = network;
  }

  broadcast(message: PeerMessage): void {
    for (const mesh of this.#others()) {
      this.send(mesh.identity.vm, message);
    }
  }

  peers(): readonly Peer[] {
    const lastReceivedAt: Instant = this.#clock.monotonic();
    return this.#others()
      .filter(({identity: {vm}}) => this.#linked(vm))
      .map(({identity}) => ({identity, lastReceivedAt}));
  }

  /** Runs the handler of a message; undefined when there is none or the body is not valid. */
  receive(message: PeerMessage, from: NodeIdentity): undefined | {readonly answer: unknown} {
    const registration = this.#handlers.get(message.type);
    if (registration?.check(message.body) !== true) {
      return undefined;
    }
    return {answer: registration.handler(message.body, from, this.#clock.monotonic())};
  }

  registerHandler(
    type: string,
    handler: PeerHandler,
    check: BodyValidator = () => true,
  ): Unregister {
    this.#handlers.set(type, {check, handler});
    return () => {
      this.#handlers.delete(type);
    };
  }

  /** Time does not pass here: a held or lost message is an answer that does not come in time. */
  request(
    to: VmId,
    incarnation: IncarnationId,
    message: PeerMessage,
    timeoutMs: number,
  ): ResultAsync<unknown, PeerFailure> {
    const target = this.#others().find(({identity}) => identity.incarnation === incarnation);
    if (target?.identity.vm !== to || !this.#linked(to)) {
      return new ResultAsync(Promise.resolve(err(UNREACHABLE)));
    }
    return new ResultAsync(this.#exchange(target, message, timeoutMs));
  }

  send(to: VmId, message: PeerMessage): boolean {
    const target = this.#others().findLast(({identity}) => identity.vm === to);
    if (target === undefined || !this.#linked(to)) {
      return false;
    }
    const copy = {...message, body: copyBody(message.body)};
    return this.#network.deliver(this.identity.vm, to, () => {
      target.receive(copy, this.identity);
    });
  }

  setTargets(addresses: readonly string[]): void {
    this.targets = addresses;
  }

  async #exchange(target: LocalMesh, message: PeerMessage, timeoutMs: number) {
    const late: PeerFailure = {kind: 'unknown', message: `no answer within ${timeoutMs} ms`};
    const copy = {...message, body: copyBody(message.body)};
    const deliveries: ReturnType<LocalMesh['receive']>[] = [];
    this.#network.deliver(this.identity.vm, target.identity.vm, () => {
      deliveries.push(target.receive(copy, this.identity));
    });
    const [received] = deliveries;
    if (deliveries.length === 0) {
      return err(late);
    }
    if (received === undefined) {
      return err({kind: 'refused', message: 'no handler for this message'} as PeerFailure);
    }
    const answer = copyBody(await received.answer);
    return this.#answersPass(target) ? ok(answer) : err(late);
  }

  #answersPass(target: LocalMesh): boolean {
    return this.#network.passage(target.identity.vm, this.identity.vm) === 'open';
  }

  /** A link that is cut one way is still up: requests arrive and answers do not, or vice versa. */
  #linked(to: VmId): boolean {
    return this.#network.passage(this.identity.vm, to) !== 'cut';
  }

  #others(): readonly LocalMesh[] {
    const own = this.identity.incarnation;
    return this.#network.meshes().filter(({identity}) => identity.incarnation !== own);
  }
}
