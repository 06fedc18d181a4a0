package io.samphiredyke.net.http;

import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Collects a response as a whole, within the budget of its address. */
final class ResponseCollector implements StreamListener {

  private final CompletableFuture<HttpResponse> response = new CompletableFuture<>();
  private final InetSocketAddress address;
  private final BodyBudget budget;
  private ByteArrayOutputStream body = new ByteArrayOutputStream();
  private boolean isBodyReleased;
  private boolean endsWithConnection;
  private int status;
  private Map<String, String> headers = Map.of();

  ResponseCollector(InetSocketAddress address, BodyBudget budget) {
    this.address = address;
    this.budget = budget;
  }

  CompletableFuture<HttpResponse> response() {
    return response;
  }

  /** Fails the response unless it is complete. */
  void abort(String reason) {
    response.completeExceptionally(new ConnectionLostException(reason));
  }

  /** Releases what was collected; the rest of the body is ignored. */
  synchronized void releaseBody() {
    if (isBodyReleased) {
      return;
    }
    isBodyReleased = true;
    budget.release(address, body.size());
    body = new ByteArrayOutputStream(0);
  }

  @Override
  public void onEndsWithConnection() {
    endsWithConnection = true;
  }

  @Override
  public void onHeaders(int status, Map<String, String> headers) {
    this.status = status;
    this.headers = headers;
  }

  @Override
  public void onChunk(byte[] bytes) {
    if (!collect(bytes)) {
      abort("the response body exceeds " + budget.maxBytesPerAddress() + " bytes for its server");
    }
  }

  private synchronized boolean collect(byte[] bytes) {
    if (isBodyReleased) {
      return true;
    }
    if (!budget.tryReserve(address, bytes.length)) {
      return false;
    }
    body.writeBytes(bytes);
    return true;
  }

  @Override
  public void onEnd() {
    byte[] content;
    synchronized (this) {
      content = body.toByteArray();
    }
    response.complete(new HttpResponse(status, headers, content, endsWithConnection));
  }

  @Override
  public void onFailure(Throwable cause) {
    response.completeExceptionally(cause);
  }
}
