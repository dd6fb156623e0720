/**
 * An in-process mesh of entry VMs for tests. Each direction of a link can be partitioned or can
 * buffer its messages; nothing depends on real time.
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

/** State of one direction of a link: `cut` drops messages, and `hold` buffers them until `release`. */
export type LinkState = 'cut' | 'hold' | 'open';

interface Registration {
  readonly check: BodyValidator;
  readonly handler: PeerHandler;
}

const UNREACHABLE: PeerFailure = {kind: 'unreachable', message: 'the link is partitioned'};

/** Copies a body, so that no two simulated processes share an object. */
function copyBody(body: unknown): unknown {
  return body === undefined ? undefined : structuredClone(body);
}

/**
 * An in-memory network of simulated processes.
 *
 * @example
 * const network = new LocalNetwork();
 * const mesh = network.attach(identity, clock);
 * network.setLinkState(vmA, vmB, 'cut');
 */
export class LocalNetwork {
  readonly #held: {readonly deliver: () => void; readonly direction: string}[] = [];
  readonly #meshes = new Map<IncarnationId, LocalMesh>();
  readonly #linkStates = new Map<string, LinkState>();

  /** Adds a process; its handlers receive times of its own clock. */
  attach(identity: NodeIdentity, clock: Clock): LocalMesh {
    const mesh = new LocalMesh(this, identity, clock);
    this.#meshes.set(identity.incarnation, mesh);
    return mesh;
  }

  /** Removes a process, which then sends and receives nothing. */
  detach(identity: NodeIdentity): void {
    this.#meshes.delete(identity.incarnation);
  }

  /** Delivers a message now or at `release`; returns false if the direction is partitioned. */
  deliver(from: VmId, to: VmId, deliver: () => void): boolean {
    const state = this.linkState(from, to);
    if (state === 'hold') {
      this.#held.push({deliver, direction: formatDirection(from, to)});
    }
    if (state === 'open') {
      deliver();
    }
    return state !== 'cut';
  }

  meshes(): readonly LocalMesh[] {
    return [...this.#meshes.values()];
  }

  linkState(from: VmId, to: VmId): LinkState {
    return this.#linkStates.get(formatDirection(from, to)) ?? 'open';
  }

  /** Delivers the buffered messages of one direction in order, regardless of timeouts. */
  release(from: VmId, to: VmId): void {
    const wanted = formatDirection(from, to);
    const due = this.#held.filter((each) => each.direction === wanted);
    const rest = this.#held.filter((each) => each.direction !== wanted);
    this.#held.splice(0, this.#held.length, ...rest);
    for (const {deliver} of due) {
      deliver();
    }
  }

  setLinkState(from: VmId, to: VmId, state: LinkState): void {
    this.#linkStates.set(formatDirection(from, to), state);
  }
}

function formatDirection(from: VmId, to: VmId): string {
  return `${from}>${to}`;
}

/** The mesh of one process in a LocalNetwork. */
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
    for (const mesh of this.#otherMeshes()) {
      this.send(mesh.identity.vm, message);
    }
  }

  peers(): readonly Peer[] {
    const lastReceivedAt: Instant = this.#clock.monotonic();
    return this.#otherMeshes()
      .filter(({identity: {vm}}) => this.#isLinked(vm))
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

  /** Sends a request; since no time passes, a buffered or lost message counts as a timeout. */
  request(
    to: VmId,
    incarnation: IncarnationId,
    message: PeerMessage,
    timeoutMs: number,
  ): ResultAsync<unknown, PeerFailure> {
    const target = this.#otherMeshes().find(({identity}) => identity.incarnation === incarnation);
    if (target?.identity.vm !== to || !this.#isLinked(to)) {
      return new ResultAsync(Promise.resolve(err(UNREACHABLE)));
    }
    return new ResultAsync(this.#exchange(target, message, timeoutMs));
  }

  send(to: VmId, message: PeerMessage): boolean {
    const target = this.#otherMeshes().findLast(({identity}) => identity.vm === to);
    if (target === undefined || !this.#isLinked(to)) {
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
    const timeout: PeerFailure = {kind: 'unknown', message: `no response within ${timeoutMs} ms`};
    const copy = {...message, body: copyBody(message.body)};
    const deliveries: ReturnType<LocalMesh['receive']>[] = [];
    this.#network.deliver(this.identity.vm, target.identity.vm, () => {
      deliveries.push(target.receive(copy, this.identity));
    });
    const [received] = deliveries;
    if (deliveries.length === 0) {
      return err(timeout);
    }
    if (received === undefined) {
      return err({kind: 'refused', message: 'no handler for this message'} as PeerFailure);
    }
    const response = copyBody(await received.answer);
    return this.#canRespond(target) ? ok(response) : err(timeout);
  }

  #canRespond(target: LocalMesh): boolean {
    return this.#network.linkState(target.identity.vm, this.identity.vm) === 'open';
  }

  /** Whether messages can be sent to `to`; the opposite direction may still be partitioned. */
  #isLinked(to: VmId): boolean {
    return this.#network.linkState(this.identity.vm, to) !== 'cut';
  }

  #otherMeshes(): readonly LocalMesh[] {
    const own = this.identity.incarnation;
    return this.#network.meshes().filter(({identity}) => identity.incarnation !== own);
  }
}
