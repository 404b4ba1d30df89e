package linengauge.session;

import linengauge.Environment;
import linengauge.Moment;
import linengauge.PackageSettings;
import linengauge.Policy;
import linengauge.Span;

/**
 * One viewing in the registry, from the acceptance of its request until the answer is given and no
 * tune-in is open (its box is chosen, but has not answered yet) or playing. Events are reported by
 * calls on it, which may come at any time and in any order; a call that no longer applies has no
 * effect.
 */
public final class Session implements Environment.ViewingPort {
  private final SessionManager manager;
  private final Viewer viewer;
  private final SessionRequest request;
  private final String id;
  private final Moment deadline;
  private Policy.Viewing viewing;

  /** Until when the open tune-in is awaited. */
  private Moment tuneInDeadline = Moment.DISTANT_PAST;

  /** How long the open tune-in is awaited; less than usual if its viewer has little time. */
  private Span tuneInTimeout = Span.NONE;

  /** When the module chose the box of the open tune-in. */
  private Moment boxChosenAt = Moment.DISTANT_PAST;

  /** The incarnation of that box, as known when it was chosen. */
  private int chosenIncarnation;

  private BoxTable.Entry currentBox;
  private int rung;
  private int tuneInCount;

  /** A tune-in is open, or plays. */
  private boolean tuneInActive;

  /** The open tune-in has been written to its box, or is about to be. */
  private boolean sent;

  private boolean playing;
  private boolean answered;

  /** The module knows the viewing: it counts for load, seats and the limit of sessions. */
  private boolean counted = true;

  /** False while nothing but its client says that the viewing plays. */
  private boolean verified = true;

  /** Timers; each is cancelled as soon as what it waits for has happened. */
  private Transport.Timer deadlineTimer;

  private Transport.Timer tuneInTimer;
  private Transport.Timer idleTimer;
  private Transport.Timer verificationTimer;
  private Environment.AttemptOutcome lastOutcome = Environment.AttemptOutcome.NEVER_SENT;

  /**
   * What was requested: the title and where it is held (cellsInRow cells from firstCell on; 0:
   * all), the package, the highest rung, the time limit and the viewer's key.
   */
  public record SessionRequest(
      String title,
      int firstCell,
      int cellsInRow,
      int packageIndex,
      PackageSettings packageSettings,
      int ceilingRung,
      Span timeLimit,
      String key) {}

  Session(
      SessionManager manager, Viewer viewer, SessionRequest request, String id, Moment deadline) {
    this.manager = manager;
    this.viewer = viewer;
    this.request = request;
    this.id = id;
    this.deadline = deadline;
  }

  /** Sets the module's handle; the module may have decided before it is known here. */
  void setViewing(Policy.Viewing newViewing) {
    this.viewing = newViewing;
  }

  /** Unique over all fronts and their restarts. */
  public String id() {
    return id;
  }

  public SessionRequest request() {
    return request;
  }

  public Viewer viewer() {
    return viewer;
  }

  /** The box of the tune-in that is open or plays; null where there is none. */
  public BoxTable.Entry box() {
    return currentBox;
  }

  /** The rung in force, or the one to set up at. */
  public int currentRung() {
    return rung;
  }

  /** How much longer the open tune-in is awaited. */
  public Span remainingWait() {
    return tuneInDeadline.since(manager.now()).max(Span.NONE);
  }

  public boolean isPlaying() {
    return playing;
  }

  Moment deadline() {
    return deadline;
  }

  boolean isAnswered() {
    return answered;
  }

  boolean isComplete() {
    return answered && !tuneInActive;
  }

  /**
   * The viewing is said to play already: it was handed over to this front together with the name of
   * its box.
   */
  void adopted(BoxTable.Entry box) {
    currentBox = box;
    tuneInCount = 1;
    tuneInActive = true;
    answered = true;
    playing = true;
    verified = false;
  }

  /** Whether the viewing counts for load, seats and the limit of sessions. */
  public boolean isCounted() {
    return counted;
  }

  void setCounted(boolean isCounted) {
    counted = isCounted;
  }

  /** Whether the front or the box itself has shown that the viewing is set up there. */
  boolean isVerified() {
    return verified;
  }

  void setVerificationTimer(Transport.Timer timer) {
    verificationTimer = timer;
  }

  /** The box has reported on the viewing, so it holds it. */
  private void verify() {
    if (!verified) {
      verified = true;
      cancelTimer(verificationTimer);
      manager.handOverVerified(this);
      viewer.verified();
    }
  }

  /** The module stops to count the viewing, which goes on as far as anyone knows. */
  void forgetViewing() {
    viewing.tuneInEnded(Environment.AttemptOutcome.FINISHED, true, true);
    viewing = null;
  }

  /* ---- decisions of the module ---- */

  @Override
  public void tuneIn(Policy.MediaBox box, Span timeout) {
    currentBox = (BoxTable.Entry) box.port();
    tuneInActive = true;
    sent = false;
    int tuneIn = tuneInCount++;
    boxChosenAt = manager.now();
    chosenIncarnation = currentBox.incarnation();
    tuneInTimeout = timeout;
    tuneInDeadline = boxChosenAt.plus(timeout);
    manager.transport().setUp(this, tuneIn);
    tuneInTimer =
        manager.startTimer(
            timeout,
            () -> {
              if (isAwaiting(tuneIn)) {
                tuneInTimedOut(tuneIn);
              }
            });
  }

  @Override
  public void requestEndConfirmation(long server) {
    manager.transport().requestEndConfirmation(this, server);
  }

  private void tuneInTimedOut(int tuneIn) {
    Environment.AttemptOutcome outcome =
        isAwaitedLongEnough() ? timeoutOutcome(tuneIn) : shortTimeoutOutcome();
    cancelAtBox(tuneIn);
    endTuneIn(outcome, false);
  }

  /** A set-up that still waits for its connection never ran, and its outcome says so. */
  private Environment.AttemptOutcome timeoutOutcome(int tuneIn) {
    return sent
        ? manager.transport().classifyTimeout(this, tuneIn)
        : Environment.AttemptOutcome.NOT_REACHED;
  }

  /** How much time a viewer has must not decide what is thought of a box, for all others too. */
  private Environment.AttemptOutcome shortTimeoutOutcome() {
    return sent ? Environment.AttemptOutcome.NOT_AWAITED : Environment.AttemptOutcome.NEVER_SENT;
  }

  /** Whether an open tune-in is awaited for so long that a sound box answers in that time. */
  public boolean isAwaitedLongEnough() {
    return !tuneInTimeout.isShorterThan(Policy.MIN_ATTEMPT_TIMEOUT);
  }

  @Override
  public void setRung(int newRung) {
    rung = newRung;
    if (playing) {
      manager.transport().changeRung(this);
    }
  }

  @Override
  public void reject(Span retryAfter, Environment.RejectionReason reason) {
    if (markAnswered()) {
      manager.counters().rejected++;
      viewer.rejected(retryAfter, reason);
      manager.removeIfComplete(this);
    }
  }

  @Override
  public void fail() {
    fail(
        lastOutcome == Environment.AttemptOutcome.NO_ANSWER
                || lastOutcome == Environment.AttemptOutcome.UNHEARD
                || lastOutcome == Environment.AttemptOutcome.HELD_UP
                || lastOutcome == Environment.AttemptOutcome.NOT_AWAITED
            ? Viewer.FailureCause.NO_ANSWER
            : Viewer.FailureCause.FAILED);
  }

  void fail(Viewer.FailureCause cause) {
    if (markAnswered()) {
      manager.counters().failed++;
      viewer.failed(cause);
      manager.removeIfComplete(this);
    }
  }

  /**
   * The only place that decides whether an answer is given: true the first time, false ever after.
   */
  private boolean markAnswered() {
    if (answered) {
      return false;
    }
    answered = true;
    cancelTimer(deadlineTimer);
    return true;
  }

  /* ---- events from the transport ---- */

  /** That tune-in is open, or is still to be sent, and has not been answered. */
  public boolean isAwaiting(int tuneIn) {
    return tuneInActive && !playing && tuneIn == tuneInCount - 1;
  }

  /**
   * The last check, made directly before a set-up is written; once it has returned true the tune-in
   * counts as sent. The tune-in must still be awaited and its viewer still wait. The box must not
   * have been reported as draining or gone, nor as restarted or lost since the choice, as it may be
   * cold now. The choice must also be recent: after a pause of the front between choice and
   * sending, set-ups chosen before the pause would leave in one burst with those chosen after it.
   */
  public boolean tryBeginSend(int tuneIn) {
    boolean sendable =
        isAwaiting(tuneIn)
            && !answered
            && currentBox.state() == BoxTable.State.SERVING
            && manager.now().isBefore(deadline)
            && manager.now().since(boxChosenAt).isShorterThan(Policy.MAX_SEND_DELAY)
            && currentBox.incarnation() == chosenIncarnation;
    sent |= sendable;
    return sendable;
  }

  /** The box has set it up. Where that is late or no longer wanted, it is ended there. */
  public void setUpSucceeded(int tuneIn) {
    if (!isAwaiting(tuneIn)) {
      return; // cancelled when it was no longer awaited
    }
    manager.runGuarded(
        () -> {
          if (!answered && deadline.isBefore(manager.now())) {
            // The viewer no longer waits, and the timer of the deadline is late itself.
            failAndCancel(Viewer.FailureCause.NO_ANSWER);
            return;
          }
          if (!answered && tuneInDeadline.isBefore(manager.now())) {
            // After a process pause: the box was sent the time limit of the tune-in and no longer
            // holds it.
            tuneInTimedOut(tuneIn);
            return;
          }
          if (answered || !markAnswered()) {
            cancelAtBox(tuneIn);
            endTuneIn(Environment.AttemptOutcome.WITHDRAWN, true);
            return;
          }
          playing = true;
          manager.counters().played++;
          cancelTimer(tuneInTimer);
          // The viewer waits, so it is notified before the module; it may leave in this call.
          viewer.started(this);
          viewing.playbackStarted(); // without effect where the viewer has left in the call above
          if (playing && Span.NONE.isShorterThan(manager.idleTimeout())) {
            idleTimer = manager.scheduleIdleCheck(manager.idleTimeout(), this);
          }
        });
  }

  /** The open tune-in has failed. */
  public void setUpFailed(int tuneIn, Environment.AttemptOutcome outcome) {
    if (isAwaiting(tuneIn)) {
      manager.runGuarded(() -> endTuneIn(outcome, false));
    }
  }

  /** That attempt, which has ended here, is over at its server too, as the server has confirmed. */
  public void endConfirmed(int attempt) {
    if (!answered) {
      manager.runGuarded(() -> viewing.endConfirmed(attempt));
    }
  }

  /** The box has reported the share that it delivers. */
  public void deliveredShareReported(double share) {
    if (playing) {
      runCounted(() -> viewing.shareDelivered(share));
    }
  }

  /**
   * The box has reported the demand on its link and uplink, over their capacity; NaN for what it
   * does not report.
   */
  public void loadsReported(double link, double uplink) {
    if (tuneInActive) {
      runCounted(() -> viewing.loadsReported(link, uplink));
    }
  }

  /** The box has reported the rung in force. */
  public void rungReported(int reportedRung) {
    if (playing) {
      rung = reportedRung;
      if (!verified) {
        currentBox.rungOfHandOverReported();
      }
      runCounted(() -> viewing.rungReported(reportedRung));
    }
  }

  /** Passes a report of the box on to the module, if the viewing counts there. */
  private void runCounted(Runnable report) {
    manager.runGuarded(
        () -> {
          verify();
          if (counted) {
            report.run();
          }
        });
  }

  /** The box itself has reported that it no longer plays, and why. */
  public void boxEnded(Environment.AttemptOutcome outcome, Viewer.EndReason reason) {
    if (playing) {
      manager.runGuarded(() -> stopPlaying(outcome, reason));
    }
  }

  /** The box has ended it, restarted, or is lost. */
  public void boxLost() {
    if (playing) {
      manager.runGuarded(
          () -> {
            // It may live on at a box that only this front cannot reach.
            cancelAtBox(tuneInCount - 1);
            stopPlaying(Environment.AttemptOutcome.BROKEN, Viewer.EndReason.BOX_LOST);
          });
    }
  }

  /**
   * The viewer reads less than it is due and is dropped: its stream at the box and its place among
   * the viewings of the title are freed at once.
   */
  public void dropSlowViewer() {
    manager.runGuarded(
        () -> {
          if (playing) {
            manager.counters().slowViewersDropped++;
            terminate(Viewer.EndReason.LET_GO);
          }
        });
  }

  /** The viewer has gone, asked for its end, or closed the connection on which it waited. */
  public void viewerLeft() {
    manager.runGuarded(() -> terminate(Viewer.EndReason.LEFT));
  }

  void terminate(Viewer.EndReason reason) {
    if (playing) {
      cancelAtBox(tuneInCount - 1);
      stopPlaying(Environment.AttemptOutcome.FINISHED, reason);
    } else if (!answered) {
      answered = true; // nobody waits for the answer any more
      cancelTimer(deadlineTimer);
      manager.counters().left++;
      viewing.viewerLeft();
      if (tuneInActive) {
        cancelAtBox(tuneInCount - 1);
        endTuneIn(Environment.AttemptOutcome.WITHDRAWN, true);
      } else {
        manager.removeIfComplete(this);
      }
    }
  }

  /**
   * The front shuts down in order: a viewing that plays is notified; one that waits is answered as
   * failed, as it may have run.
   */
  void shutDown() {
    if (playing) {
      terminate(Viewer.EndReason.STOPPED);
    } else if (!answered) {
      failAndCancel(Viewer.FailureCause.FRONT_FAILED);
    }
  }

  /** Answers in the module's place and cancels what is open. */
  void failAndCancel(Viewer.FailureCause cause) {
    fail(cause);
    viewing.viewerLeft();
    if (tuneInActive) {
      cancelAtBox(tuneInCount - 1);
      endTuneIn(Environment.AttemptOutcome.WITHDRAWN, true);
    }
  }

  /** The module has failed and is not called any more. */
  void abandon() {
    if (tuneInActive) {
      cancelAtBox(tuneInCount - 1);
      tuneInActive = false;
    }
    cancelTimer(tuneInTimer);
    cancelTimer(idleTimer);
    if (playing) {
      playing = false;
      viewer.ended(Viewer.EndReason.STOPPED);
    }
    fail(Viewer.FailureCause.FRONT_FAILED);
  }

  private void stopPlaying(Environment.AttemptOutcome outcome, Viewer.EndReason reason) {
    playing = false;
    endTuneIn(outcome, true);
    viewer.ended(reason);
  }

  private void cancelAtBox(int tuneIn) {
    manager.transport().cancelAtBox(this, currentBox, tuneIn);
  }

  private void endTuneIn(Environment.AttemptOutcome outcome, boolean viewingOver) {
    cancelTimer(tuneInTimer);
    cancelTimer(idleTimer);
    cancelTimer(verificationTimer);
    tuneInActive = false;
    lastOutcome = outcome;
    viewer.attemptEnded(tuneInCount - 1, currentBox, outcome);
    if (!verified) {
      currentBox.unverifiedViewingEnded();
    }
    if (counted) {
      viewing.tuneInEnded(outcome, viewingOver, outcome.confirmed);
    }
    if (!tuneInActive) {
      currentBox = null;
      manager.removeIfComplete(this);
    }
  }

  /**
   * Ends the session where no request has come for the idle timeout; else checks again at the
   * earliest moment at which that can be so.
   */
  void checkIdle(Span idleTimeout) {
    if (!playing) {
      return;
    }
    // After a pause of the front, what the viewer requested meanwhile is still to be read.
    Span remaining =
        idleTimeout.minus(manager.now().since(viewer.lastRequestAt())).plus(manager.recentPause());
    if (Span.NONE.isShorterThan(remaining)) {
      idleTimer = manager.scheduleIdleCheck(remaining, this);
    } else {
      terminate(Viewer.EndReason.IDLE);
    }
  }

  /** Sets the timer by which the answer is given as a last resort. */
  void setDeadlineTimer(Transport.Timer timer) {
    deadlineTimer = timer;
  }

  private static void cancelTimer(Transport.Timer timer) {
    if (timer != null) {
      timer.cancel();
    }
  }
}
