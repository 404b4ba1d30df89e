package linengauge.consensus.tcp;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.security.SecureRandom;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import linengauge.Moment;
import linengauge.Span;
import linengauge.consensus.LogFollower;
import linengauge.consensus.PersistentState;
import linengauge.consensus.RaftMessage;
import linengauge.consensus.RaftNode;
import linengauge.consensus.RaftSettings;
import linengauge.consensus.SaveFailedException;
import linengauge.consensus.StateMachine;
import linengauge.consensus.Voters;
import linengauge.net.SocketAddresses;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One front's part in the council over TCP, on a thread of its own: it follows, and votes where it
 * has a store. Each side of a connection shows the fleet's key with every frame ({@link Frames}).
 * Saving waits for the disk on this thread alone. Every connection, queue and wait has a bound;
 * what does not fit is lost, as words may be.
 */
public final class ConsensusNode implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(ConsensusNode.class);

  /** One in so many connections may be of a side that has not shown the key yet. */
  private static final int PROVEN_FOR_UNPROVEN = 8;

  private static final int ACCEPTED_AT_ONCE = 64;
  private static final int MOST_ADDRESSES = 64;
  private static final int MOST_UNSENT = 2 * RaftMessage.MOST;
  private static final int MOST_DEEDS = 256;
  private static final int READ_BYTES = 64 * 1024;
  private static final Span PROVEN = Span.ofSeconds(2);

  /** Between two looks at all connections: with hundreds of them, not with each turn. */
  private static final Span TIDY = Span.ofMillis(100);

  private static final Span IDLE = Span.ofSeconds(30);
  private static final Span AGAIN = Span.ofMillis(100);
  private static final Span AGAIN_AT_MOST = Span.ofSeconds(1);
  private static final long LONGEST_WAIT_MS = 1000;

  /**
   * What it is told at its start.
   *
   * @param listen null: it takes no connections, as a front that follows only
   * @param mostFollowers connections at the most. Guards against a storm of connections that fills
   *     memory and descriptors. It hurts where more fronts follow one voter than it says: with
   *     fronts in the thousands it has to hold all that are left to the voters that remain. An
   *     eighth of it may be of sides that have not shown the key yet.
   */
  public record Settings(
      int number,
      String listen,
      TreeMap<Integer, String> voters,
      byte[] key,
      RaftSettings voting,
      LogFollower.Terms following,
      int mostFollowers) {
    /** Fit for some hundreds of fronts. */
    public static final int USUAL_FOLLOWERS = 512;

    /** With the usual bound of connections. */
    public Settings(
        int number,
        String listen,
        TreeMap<Integer, String> voters,
        byte[] key,
        RaftSettings voting,
        LogFollower.Terms following) {
      this(number, listen, voters, key, voting, following, USUAL_FOLLOWERS);
    }

    private int mostUnproven() {
      return Math.max(1, mostFollowers / PROVEN_FOR_UNPROVEN);
    }
  }

  /** Bytes of its connections so far, frames and greetings included, headers of TCP and IP not. */
  public record Traffic(long sentBytes, long receivedBytes) {}

  /**
   * How things stand, as of the last turn.
   *
   * @param age how old its word was at that time
   * @param at when that was, on the clock of System.nanoTime
   */
  public record View(
      RaftNode.Role role,
      long term,
      int leader,
      long index,
      Span age,
      Voters voters,
      long strangers,
      long unsaved,
      Moment at) {}

  private final class Link {
    private final SocketChannel channel;
    private final Frames frames;
    private final long asker;
    private final boolean called;
    private final ArrayDeque<ByteBuffer> unsent = new ArrayDeque<>();

    /** Words for the other side, until it has shown the key. */
    private final ArrayDeque<byte[]> early = new ArrayDeque<>();

    private final Moment openedAt = now();
    private int unsentBytes;
    private Moment usedAt = openedAt;
    private SelectionKey key;

    private Link(SocketChannel channel, boolean called) throws IOException {
      this.channel = channel;
      this.called = called;
      this.asker = nextAsker++;
      byte[] nonce = new byte[16];
      random.nextBytes(nonce);
      this.frames = new Frames(settings.key(), nonce, called);
      channel.configureBlocking(false);
      channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
      queue(ByteBuffer.wrap(frames.greeting()));
    }

    private void queue(ByteBuffer b) {
      unsent.add(b);
      unsentBytes += b.remaining();
    }

    private void send(RaftMessage w) {
      usedAt = now();
      byte[] body = w.bytes();
      if (unsentBytes + body.length > MOST_UNSENT) {
        return; // lost, as on any way that is too slow
      }
      if (frames.isProven()) {
        queue(ByteBuffer.wrap(frames.sealed(body)));
        write();
      } else {
        unsentBytes += body.length;
        early.add(body);
      }
    }

    private void write() {
      try {
        while (!unsent.isEmpty() && channel.isConnected()) {
          int wrote = channel.write(unsent.peek());
          sentBytes += wrote;
          unsentBytes -= wrote;
          if (unsent.peek().hasRemaining()) {
            break;
          }
          unsent.poll();
        }
        wants();
      } catch (IOException e) {
        close();
      }
    }

    private void wants() {
      if (key != null && key.isValid()) {
        key.interestOps(
            !channel.isConnected()
                ? SelectionKey.OP_CONNECT
                : SelectionKey.OP_READ | (unsent.isEmpty() ? 0 : SelectionKey.OP_WRITE));
      }
    }

    private void ready() {
      try {
        if (key.isConnectable() && channel.finishConnect()) {
          write();
        }
        if (key.isValid() && key.isReadable()) {
          read();
        }
        if (key.isValid() && key.isWritable()) {
          write();
        }
      } catch (IOException e) {
        close();
      } catch (IllegalArgumentException e) {
        strangers++;
        LOG.debug("council: {}", e.getMessage());
        close();
      }
    }

    private void read() throws IOException {
      in.clear();
      if (channel.read(in) < 0) {
        close();
        return;
      }
      receivedBytes += in.position();
      usedAt = now();
      boolean wasGreeted = frames.isGreeted();
      List<byte[]> bodies = frames.read(Arrays.copyOf(in.array(), in.position()));
      if (!wasGreeted && frames.isGreeted()) {
        queue(ByteBuffer.wrap(frames.proof()));
      }
      while (frames.isProven() && !early.isEmpty()) {
        unsentBytes -= early.peek().length;
        queue(ByteBuffer.wrap(frames.sealed(early.poll())));
      }
      write();
      for (byte[] b : bodies) {
        heard(this, RaftMessage.read(b));
      }
    }

    private void close() {
      links.remove(asker);
      calls.values().removeIf(l -> l == this);
      if (key != null) {
        key.cancel();
      }
      try {
        channel.close();
      } catch (IOException e) {
        LOG.debug("council", e);
      }
    }
  }

  private final Settings settings;
  private final ConsensusStore store;
  private final RaftNode voter;
  private final LogFollower follower;
  private final BiConsumer<String, View> changed;
  private final SecureRandom random = new SecureRandom();
  private final Selector selector;
  private final ServerSocketChannel server;
  private final Thread thread = new Thread(this::run, "council");
  private final CountDownLatch ended = new CountDownLatch(1);
  private final ArrayBlockingQueue<Runnable> deeds = new ArrayBlockingQueue<>(MOST_DEEDS);
  private final ByteBuffer in = ByteBuffer.allocate(READ_BYTES);
  private final Map<Long, Link> links = new HashMap<>();

  /**
   * This front's own calls, by address; and when an address that was not reached is tried again.
   */
  private final Map<String, Link> calls = new HashMap<>();

  private final Map<String, Moment> again = new HashMap<>();
  private final Map<String, Span> pause = new HashMap<>();
  private long nextAsker;
  private long strangers;
  private String told = "";
  private Moment tidyAt = Moment.DISTANT_PAST;
  private long sentBytes;
  private long receivedBytes;
  private volatile Traffic traffic = new Traffic(0, 0);
  private volatile boolean closing;
  private volatile View view;

  /**
   * Binds at once and starts with {@link #start}.
   *
   * @param store of a voter; null: this front follows only
   * @param machine what decisions change; made twice over by a voter, which needs one for its own
   *     state
   * @param changed told on the node's thread where role, term, leader or voters have changed
   * @throws IOException where it cannot listen there
   */
  public ConsensusNode(
      Settings settings,
      ConsensusStore store,
      StateMachine ofVoter,
      StateMachine machine,
      BiConsumer<String, View> changed)
      throws IOException {
    if (settings.key().length < 16) {
      throw new IllegalArgumentException(
          "a key of 16 bytes at least, not " + settings.key().length);
    }
    this.settings = settings;
    this.store = store;
    this.changed = changed;
    long clock = System.currentTimeMillis() * 1000;
    selector = Selector.open();
    server = settings.listen() == null ? null : listening();
    PersistentState saved = store == null ? null : store.first();
    voter =
        saved == null
            ? null
            : new RaftNode(
                settings.voting(),
                settings.number(),
                saved,
                ofVoter,
                clock ^ settings.number(),
                new RaftNode.Port() {
                  @Override
                  public void save(PersistentState s) throws SaveFailedException {
                    store.save(s);
                  }

                  @Override
                  public void send(int to, RaftMessage word) {
                    Voters.Chair c = voter.voters().chairs().get(to);
                    String address =
                        settings.voters().getOrDefault(to, c == null ? null : c.address());
                    call(address, word);
                  }

                  @Override
                  public void answer(long asker, RaftMessage word) {
                    Link l = links.get(asker);
                    if (l != null) {
                      l.send(word);
                    }
                  }
                });
    // An address of this front's own settings is the way from here; the council's own words name
    // those it does not know.
    follower =
        new LogFollower(
            settings.following(),
            settings.number(),
            settings.voters(),
            clock,
            machine,
            (to, address, word) -> call(settings.voters().getOrDefault(to, address), word));
    thread.setDaemon(true);
  }

  private ServerSocketChannel listening() throws IOException {
    ServerSocketChannel channel = ServerSocketChannel.open();
    try {
      channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
      channel.bind(SocketAddresses.parseNumeric(settings.listen()), settings.mostUnproven());
      channel.configureBlocking(false);
      channel.register(selector, SelectionKey.OP_ACCEPT);
      return channel;
    } catch (IOException e) {
      channel.close();
      selector.close();
      throw new IOException(
          "the council cannot listen on " + settings.listen() + ": " + e.getMessage(), e);
    }
  }

  public void start() {
    thread.start();
  }

  public View view() {
    return view;
  }

  public Traffic traffic() {
    return traffic;
  }

  /** Has something decided; false where too much waits. The wish ends on the node's thread. */
  public boolean wants(byte[] decision, LogFollower.Proposal wish) {
    return deed(
        () -> {
          if (!follower.wants(now(), decision, wish)) {
            wish.ended(false);
          }
        });
  }

  /** Wants other voters. */
  public boolean wantsVoters(Voters next, LogFollower.Proposal wish) {
    return deed(
        () -> {
          if (!follower.wantsVoters(now(), next, wish)) {
            wish.ended(false);
          }
        });
  }

  /** Runs it on the node's thread once all that was decided before now is known here. */
  public boolean whenSure(Runnable then) {
    return deed(() -> follower.whenSure(now(), then));
  }

  private boolean deed(Runnable r) {
    boolean taken = deeds.offer(r);
    selector.wakeup();
    return taken;
  }

  @Override
  public void close() {
    closing = true;
    selector.wakeup();
    try {
      if (thread.isAlive() && !ended.await(1, TimeUnit.SECONDS)) {
        LOG.warn("council: still at work");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static Moment now() {
    return new Moment(System.nanoTime() / 1000);
  }

  private void run() {
    try {
      if (voter != null) {
        voter.start(now());
      }
      follower.start(now());
      while (!closing) {
        turn();
      }
    } catch (IOException | RuntimeException e) {
      LOG.error("the council has failed here: this front goes on alone", e);
    } finally {
      List.copyOf(links.values()).forEach(Link::close);
      try {
        if (server != null) {
          server.close();
        }
        selector.close();
        if (store != null) {
          store.close();
        }
      } catch (IOException e) {
        LOG.warn("council", e);
      }
      ended.countDown();
    }
  }

  private void turn() throws IOException {
    Moment next =
        voter == null || follower.next().isBefore(voter.next()) ? follower.next() : voter.next();
    long wait = Math.min(LONGEST_WAIT_MS, (next.since(now()).micros() + 999) / 1000);
    if (wait > 0) {
      selector.select(wait);
    } else {
      selector.selectNow();
    }
    for (SelectionKey k : List.copyOf(selector.selectedKeys())) {
      if (k.channel() == server) {
        acceptAll();
      } else if (k.isValid()) {
        ((Link) k.attachment()).ready();
      }
    }
    selector.selectedKeys().clear();
    for (Runnable r = deeds.poll(); r != null; r = deeds.poll()) {
      r.run();
    }
    Moment t = now();
    if (voter != null && !t.isBefore(voter.next())) {
      voter.step(t);
    }
    if (!t.isBefore(follower.next())) {
      follower.step(t);
    }
    if (!t.isBefore(tidyAt)) {
      tidyAt = t.plus(TIDY);
      tidy(t);
    }
    show(t);
  }

  private void acceptAll() throws IOException {
    long unproven = links.values().stream().filter(l -> !l.called && !l.frames.isProven()).count();
    for (int i = 0; i < ACCEPTED_AT_ONCE; i++) {
      SocketChannel c = server.accept();
      if (c == null) {
        return;
      }
      if (links.size() >= settings.mostFollowers() || unproven >= settings.mostUnproven()) {
        c.close();
      } else {
        add(new Link(c, false));
        unproven++;
      }
    }
  }

  private void add(Link l) throws IOException {
    links.put(l.asker, l);
    l.key =
        l.channel.register(
            selector, l.channel.isConnected() ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT, l);
    l.write();
  }

  /**
   * Connections that do not show the key in time, however they drip, and those that nothing has
   * used for long.
   */
  private void tidy(Moment t) {
    for (Link l : List.copyOf(links.values())) {
      if (l.frames.isProven()
          ? IDLE.isShorterThan(t.since(l.usedAt))
          : PROVEN.isShorterThan(t.since(l.openedAt))) {
        l.close();
      }
    }
  }

  private void call(String address, RaftMessage w) {
    if (address == null) {
      return;
    }
    Link l = calls.get(address);
    if (l == null) {
      Moment t = now();
      if (t.isBefore(again.getOrDefault(address, Moment.DISTANT_PAST))) {
        return; // lost; who speaks will speak again
      }
      if (again.size() >= MOST_ADDRESSES) {
        again.clear();
        pause.clear();
      }
      Span p = pause.getOrDefault(address, AGAIN);
      again.put(address, t.plus(p));
      pause.put(address, p.times(2).min(AGAIN_AT_MOST));
      try {
        SocketChannel c = SocketChannel.open();
        l = new Link(c, true);
        c.connect(SocketAddresses.parseNumeric(address));
        calls.put(address, l);
        add(l);
      } catch (IOException | IllegalArgumentException e) {
        LOG.debug("council: {} not reached: {}", address, e.getMessage());
        return;
      }
    }
    l.send(w);
  }

  private void heard(Link by, RaftMessage w) {
    if (by.called) {
      pause.clear();
    }
    switch (w.kind()) {
      case FOLLOW, PROPOSE, READ -> {
        if (voter != null) {
          voter.ask(now(), by.asker, w);
        }
      }
      case FOLLOWED, REPLACED, PLACED, READABLE -> follower.heard(now(), w);
      default -> {
        if (voter != null) {
          voter.heard(now(), w);
        }
      }
    }
  }

  private void show(Moment t) {
    boolean votes = voter != null;
    traffic = new Traffic(sentBytes, receivedBytes);
    view =
        new View(
            votes ? voter.role() : null,
            votes ? voter.term() : 0,
            votes ? voter.leader() : follower.leader(),
            follower.index(),
            t.since(follower.sureAt()),
            follower.voters(),
            strangers,
            votes ? voter.failures() : 0,
            t);
    String s = view.role() + " " + view.term() + " " + view.leader() + " " + view.voters().voting();
    if (!s.equals(told)) {
      told = s;
      changed.accept(s, view);
    }
  }
}
